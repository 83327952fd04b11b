"""Calls a component with the operations of a trace."""

import typing

import pydantic

Verb = typing.Callable[..., typing.Any]


class Player(typing.Protocol):
    """One component, driven by the lines of a trace."""

    @property
    def verbs(self) -> typing.Mapping[str, Verb]:
        """The component's operations, by name.

        An operation takes the time ``now_s`` and the line's arguments as
        keyword arguments, and returns its outcome.
        """


class PlayError(ValueError):
    """A trace line that its component cannot run."""


def play(
    player: Player, verb: str, args: dict[str, typing.Any], now_s: float
) -> typing.Any:
    """Run one operation of a component and return its outcome.

    Raises
    ------
    PlayError
        If the component has no such operation, or an argument is
        missing, unexpected or of the wrong type.
    """
    verbs = player.verbs
    if verb not in verbs:
        allowed = ', '.join(sorted(verbs))
        raise PlayError(f'do: {verb!r} is not one of {allowed}')
    checked = pydantic.validate_call(verbs[verb])
    try:
        return checked(now_s=now_s, **args)
    except pydantic.ValidationError as exc:
        error = exc.errors(include_url=False)[0]
        path = '.'.join(str(key) for key in error['loc'])
        raise PlayError(f'with.{path}: {error["msg"]}') from exc
