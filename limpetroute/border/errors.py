"""Turns pydantic's errors into one line for each field."""

import typing

import pydantic

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


class InvalidInputError(ValueError):
    """Input with at least one wrong field.

    Parameters
    ----------
    lines : sequence of str
        One line for each wrong field: its path and what is allowed.
    """

    def __init__(self, *, lines: typing.Sequence[str]) -> None:
        super().__init__('; '.join(lines))
        self.lines = tuple(lines)


def describe(error: pydantic.ValidationError) -> list[str]:
    """Give one line for each wrong field, with its path."""
    lines = []
    for item in error.errors(include_url=False):
        path = '.'.join(str(part) for part in item['loc']) or '(whole)'
        shown = repr(item.get('input'))
        if len(shown) > 60:
            shown = shown[:57] + '...'
        lines.append(f'{path}: {item["msg"]} (got {shown})')
    return lines


def parse(model: type[_Model], data: bytes | str) -> _Model:
    """Validate JSON text.

    Raises
    ------
    InvalidInputError
        If it is not JSON or does not fit the model.
    """
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as exc:
        raise InvalidInputError(lines=describe(exc)) from exc
