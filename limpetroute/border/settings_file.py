"""Reads and validates settings files."""

import pathlib
import typing

import pydantic

from limpetroute.border import errors
from limpetroute.border import listen_settings
from limpetroute.border import trust_settings

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def load(model: type[_Model], path: pathlib.Path) -> _Model:
    """Read and validate a settings file.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or a field is invalid.
    """
    return parse(model, read(path), folder=path.parent)


def read(path: pathlib.Path) -> bytes:
    """Read a file.

    Raises
    ------
    InvalidInputError
        If the file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as exc:
        line = f'(whole): cannot be read: {exc.strerror}'
        raise errors.InvalidInputError(lines=[line]) from exc


def parse(model: type[_Model], data: bytes, *, folder: pathlib.Path) -> _Model:
    """Validate the content of a settings file.

    Raises
    ------
    InvalidInputError
        If a field is invalid or repeated; it lists all such fields.
    """
    lines = errors.repeated_fields(data)
    try:
        settings = errors.parse(model, data, context={'folder': folder})
    except errors.InvalidInputError as exc:
        raise errors.InvalidInputError(lines=[*lines, *exc.lines]) from exc
    if isinstance(settings, trust_settings.TrustSettings):
        lines.extend(settings.missing_trust())
        lines.extend(_unusable_files(settings))
    if lines:
        raise errors.InvalidInputError(lines=lines)
    return settings


def _unusable_files(settings: trust_settings.TrustSettings) -> list[str]:
    """Return an error for each unusable certificate, key or token file."""
    lines: list[str] = []
    try:
        settings.credentials()
    except errors.InvalidInputError as exc:
        lines.extend(exc.lines)
    for name in type(settings).model_fields:
        value = getattr(settings, name)
        if not isinstance(value, listen_settings.ListenSettings):
            continue
        try:
            value.tls_context()
        except errors.InvalidInputError as exc:
            prefixed = [f'{name}.{line}' for line in exc.lines]
            lines.extend(prefixed)
    return lines
