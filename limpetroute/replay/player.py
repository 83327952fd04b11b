"""A part of the product that a trace acts on."""

import typing

import pydantic

Verb = typing.Callable[..., typing.Any]


class Player(typing.Protocol):
    """One part, driven by the lines of a trace."""

    @property
    def verbs(self) -> typing.Mapping[str, Verb]:
        """What the part can be told, by name.

        A verb takes ``now_s`` and the line's values by name, and
        returns what came of it.
        """


class PlayError(ValueError):
    """A line that the part does not understand."""


def play(
    player: Player, verb: str, args: dict[str, typing.Any], now_s: float
) -> typing.Any:
    """Tell a part one line's verb.

    Raises
    ------
    PlayError
        If there is no such verb, or the values do not fit it.
    """
    verbs = player.verbs
    if verb not in verbs:
        allowed = ', '.join(sorted(verbs))
        raise PlayError(f'do: {verb!r} is not one of {allowed}')
    checked = pydantic.validate_call(verbs[verb])
    try:
        return checked(now_s=now_s, **args)
    except pydantic.ValidationError as exc:
        item = exc.errors(include_url=False)[0]
        path = '.'.join(str(part) for part in item['loc'])
        raise PlayError(f'with.{path}: {item["msg"]}') from exc
