"""Checks one file, and several files against each other."""

import dataclasses
import pathlib

import pydantic

from limpetroute.border import errors
from limpetroute.border import listen_settings
from limpetroute.border import settings_file
from limpetroute.cli import file_kind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FileCheck:
    """What one file is, and each wrong field of it."""

    path: str
    kind: file_kind.FileKind | None
    lines: tuple[str, ...] = ()
    body: pydantic.BaseModel | None = None


def check_file(name: str, kind: file_kind.FileKind | None) -> FileCheck:
    """Read and validate one file."""
    path = pathlib.Path(name)
    try:
        data = settings_file.read(path)
    except errors.InvalidInputError as exc:
        return FileCheck(path=name, kind=kind, lines=exc.lines)
    kind = kind or file_kind.guess(path, data)
    if kind is None:
        allowed = ', '.join(file_kind.FileKind)
        line = f'(whole): kind not known; give --kind, one of {allowed}'
        return FileCheck(path=name, kind=None, lines=(line,))
    try:
        body = _parse(kind, data, path)
    except errors.InvalidInputError as exc:
        return FileCheck(path=name, kind=kind, lines=exc.lines)
    return FileCheck(path=name, kind=kind, body=body)


def _parse(
    kind: file_kind.FileKind, data: bytes, path: pathlib.Path
) -> pydantic.BaseModel | None:
    if kind is file_kind.FileKind.TRACE:
        # Imported here: it brings the decisions along.
        from limpetroute.replay import trace_error
        from limpetroute.replay import trace_reader

        try:
            trace_reader.read(data)
        except trace_error.TraceError as exc:
            raise errors.InvalidInputError(lines=[str(exc)]) from exc
        return None
    model = file_kind.model_of(kind)
    return settings_file.parse(model, data, folder=path.parent)


def check_together(checks: list[FileCheck]) -> list[str]:
    """Find names, addresses and zones that do not go together."""
    lines = _repeats(checks)
    zones = _zones(checks)
    if not zones:
        return lines
    for item in checks:
        zone = getattr(item.body, 'zone', None)
        if zone is None or zone in zones:
            continue
        allowed = ', '.join(sorted(zones))
        lines.append(
            f'{item.path}: zone: allowed is one of {allowed} (got {zone!r})'
        )
    return lines


def _zones(checks: list[FileCheck]) -> set[str]:
    found: set[str] = set()
    for item in checks:
        found.update(getattr(item.body, 'zones', ()))
    return found


def _repeats(checks: list[FileCheck]) -> list[str]:
    lines = []
    first: dict[tuple[str, str], str] = {}
    for item in checks:
        if item.body is None:
            continue
        for key in _claims(item):
            if key in first:
                field, value = key
                lines.append(
                    f'{item.path}: {field}: {value} is taken by {first[key]}'
                )
                continue
            first[key] = item.path
    return lines


def _claims(item: FileCheck) -> list[tuple[str, str]]:
    """Return the names and addresses that only one file may have."""
    found = []
    for field in ('host_id', 'runner_id', 'data_dir'):
        value = getattr(item.body, field, None)
        if value is not None:
            found.append((field, str(value)))
    for field in ('listen', 'internal_listen'):
        value = getattr(item.body, field, None)
        if not isinstance(value, listen_settings.ListenSettings):
            continue
        if value.port:
            found.append(('listen', f'{value.address}:{value.port}'))
    return found
