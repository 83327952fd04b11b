"""Reads a settings file once, at start."""

import pathlib
import typing

import pydantic

from limpetroute.border import errors

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def load(model: type[_Model], path: pathlib.Path) -> _Model:
    """Read and validate a settings file.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or a field is wrong.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        line = f'{path}: {exc.strerror}'
        raise errors.InvalidInputError(lines=[line]) from exc
    return errors.parse(model, data)
