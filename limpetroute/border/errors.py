"""Converts pydantic's validation errors to one line per field."""

import difflib
import json
import typing

import pydantic

from limpetroute.border import field_errors
from limpetroute.border import strict_model

MAX_SHOWN = 60
MAX_ALLOWED = 8
# More errors are counted and not listed, as each takes memory.
MAX_ERRORS = 1000

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


class InvalidInputError(ValueError):
    """Raised for input with at least one invalid field.

    Parameters
    ----------
    lines : sequence of str
        One line per invalid field, with its path and what is allowed.
    """

    def __init__(self, *, lines: typing.Sequence[str]) -> None:
        super().__init__('; '.join(lines))
        self.lines = tuple(lines)


def describe(
    error: pydantic.ValidationError,
    model: type[pydantic.BaseModel] | None = None,
) -> list[str]:
    """Return one line per invalid field, with its path."""
    if error.error_count() > MAX_ERRORS:
        return [f'{error.error_count()} fields are invalid']
    lines = []
    for item in error.errors(include_url=False):
        path = '.'.join(str(part) for part in item['loc'])
        cause = item.get('ctx', {}).get('error')
        if isinstance(cause, field_errors.FieldErrors):
            for subpath, text in cause.errors:
                lines.append(f'{path}.{subpath}: {text}'.lstrip('.'))
            continue
        text = item['msg'].removeprefix('Value error, ')
        if item['type'] == 'extra_forbidden':
            text = _unknown_field(model, item['loc'])
        shown = _shorten(item.get('input'))
        if item['type'] == 'missing':
            lines.append(f'{path}: {text}')
            continue
        lines.append(f'{path or "(whole)"}: {text} (got {shown})')
    return lines


def parse(
    model: type[_Model],
    data: bytes | str,
    *,
    context: typing.Mapping[str, typing.Any] | None = None,
) -> _Model:
    """Validate JSON text.

    Models of limpetroute's own files and messages do not accept a string
    such as ``"3"`` for a number, as a unit in the string would be lost
    silently.

    Raises
    ------
    InvalidInputError
        If the data is not JSON or does not match the model.
    """
    strict = issubclass(model, strict_model.StrictModel) or None
    try:
        return model.model_validate_json(data, strict=strict, context=context)
    except pydantic.ValidationError as exc:
        raise InvalidInputError(lines=describe(exc, model)) from exc


def repeated_fields(data: bytes) -> list[str]:
    """Return an error for each field that a JSON object repeats.

    A parser silently keeps the last value, so an operator's earlier line
    would have no effect and cause no error.
    """
    lines: list[str] = []

    def check(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
        seen = set()
        for name, _ in pairs:
            if name in seen:
                lines.append(f'{name}: the field stands twice')
            seen.add(name)
        return dict(pairs)

    try:
        json.loads(data, object_pairs_hook=check)
    except (ValueError, RecursionError):
        return []
    return lines


def _shorten(value: typing.Any) -> str:
    shown = repr(value)
    if len(shown) > MAX_SHOWN:
        return shown[: MAX_SHOWN - 3] + '...'
    return shown


def _unknown_field(
    model: type[pydantic.BaseModel] | None, loc: tuple[int | str, ...]
) -> str:
    names = _fields_at(model, loc[:-1])
    if not names:
        return 'no such field'
    near = difflib.get_close_matches(str(loc[-1]), names, cutoff=0.6)
    if near:
        return f'no such field; near it: {", ".join(near)}'
    if len(names) <= MAX_ALLOWED:
        return f'no such field; allowed: {", ".join(names)}'
    return 'no such field'


def _fields_at(
    model: type[pydantic.BaseModel] | None, loc: tuple[int | str, ...]
) -> list[str]:
    """Return the field names of the nested model at a path."""
    current: typing.Any = model
    for part in loc:
        if isinstance(part, int) or current is None:
            continue
        field = current.model_fields.get(part)
        current = _model_in(field.annotation) if field else None
    return list(current.model_fields) if current is not None else []


def _model_in(annotation: typing.Any) -> type[pydantic.BaseModel] | None:
    """Return the model inside ``list[X]``, ``X | None`` and the like."""
    if isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    for inner in typing.get_args(annotation):
        found = _model_in(inner)
        if found is not None:
            return found
    return None
