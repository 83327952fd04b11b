"""The components that a trace can drive, by name."""

import typing

from limpetroute.replay import control_player
from limpetroute.replay import directory_player
from limpetroute.replay import group_player
from limpetroute.replay import guard_player
from limpetroute.replay import lease_player
from limpetroute.replay import player
from limpetroute.replay import record_player
from limpetroute.replay import router_player

PARTS: dict[str, typing.Callable[[], player.Player]] = {
    'control': control_player.ControlPlayer,
    'directory': directory_player.DirectoryPlayer,
    'group': group_player.GroupPlayer,
    'guard': guard_player.GuardPlayer,
    'leases': lease_player.LeasePlayer,
    'record': record_player.RecordPlayer,
    'router': router_player.RouterPlayer,
}


def make(part: str) -> player.Player:
    """Make a new player for a component.

    Raises
    ------
    PlayError
        If no component has that name.
    """
    if part not in PARTS:
        allowed = ', '.join(PARTS)
        raise player.PlayError(f'on: {part!r} is not one of {allowed}')
    return PARTS[part]()
