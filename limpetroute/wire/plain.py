"""Converts typed values to JSON-compatible values, for traces."""

import dataclasses
import enum
import typing


def plain(value: typing.Any) -> typing.Any:
    """Convert a value to a JSON-compatible value.

    A dataclass becomes an object with its type name under ``is``. Sets
    are sorted, so that equal values have the same form.
    """
    if isinstance(value, enum.Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {'is': type(value).__name__, **fields(value)}
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(plain(item) for item in value)
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value


def fields(value: typing.Any) -> dict[str, typing.Any]:
    """Return a dataclass's fields as JSON-compatible values."""
    return {
        field.name: plain(getattr(value, field.name))
        for field in dataclasses.fields(value)
    }
