"""Replays a trace and compares outcomes with the expected ones."""

import dataclasses
import typing

from limpetroute.replay import comparison
from limpetroute.replay import parts
from limpetroute.replay import player
from limpetroute.replay import trace as trace_module
from limpetroute.replay import trace_error
from limpetroute.wire import plain


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """An event with an expected outcome, and its actual outcome."""

    event: trace_module.TraceEvent
    got: typing.Any
    agrees: bool


def replay(trace: trace_module.Trace) -> list[Step]:
    """Replay a trace on its own clock.

    Returns
    -------
    list of Step
        One step for each expected outcome, up to and including the first
        that differs. Later differences would only follow from it.

    Raises
    ------
    TraceError
        If a component cannot run a line.
    """
    players: dict[tuple[str, str], player.Player] = {}
    steps = []
    for event in trace.events:
        got = plain.plain(_play(players, event))
        if not event.stated:
            continue
        agrees = comparison.agrees(event.expected, got)
        steps.append(Step(event=event, got=got, agrees=agrees))
        if not agrees:
            break
    return steps


def _play(
    players: dict[tuple[str, str], player.Player],
    event: trace_module.TraceEvent,
) -> typing.Any:
    key = (event.part, event.name)
    try:
        if key not in players:
            players[key] = parts.make(event.part)
        return player.play(players[key], event.verb, event.args, event.at_s)
    except player.PlayError as exc:
        raise trace_error.TraceError(
            line=event.line, column=1, text=str(exc)
        ) from exc
