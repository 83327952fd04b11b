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
    """The kind of one file and a line for each error in it."""

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
        # Imported here because only traces need these modules.
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
    """Return a line for each conflict between files.

    Conflicts are names or addresses used twice, and zones that no file
    lists.
    """
    lines = _find_duplicates(checks)
    zones = _collect_zones(checks)
    if not zones:
        return lines
    for check in checks:
        zone = getattr(check.body, 'zone', None)
        if zone is None or zone in zones:
            continue
        allowed = ', '.join(sorted(zones))
        lines.append(
            f'{check.path}: zone: allowed is one of {allowed} (got {zone!r})'
        )
    return lines


def _collect_zones(checks: list[FileCheck]) -> set[str]:
    found: set[str] = set()
    for check in checks:
        found.update(getattr(check.body, 'zones', ()))
    return found


def _find_duplicates(checks: list[FileCheck]) -> list[str]:
    lines = []
    paths: dict[tuple[str, str], str] = {}
    for check in checks:
        if check.body is None:
            continue
        for key in _unique_values(check):
            if key in paths:
                field, value = key
                lines.append(
                    f'{check.path}: {field}: {value} is taken by {paths[key]}'
                )
                continue
            paths[key] = check.path
    return lines


def _unique_values(check: FileCheck) -> list[tuple[str, str]]:
    """Return fields and values that no other file may repeat."""
    found = []
    for field in ('host_id', 'runner_id', 'data_dir'):
        value = getattr(check.body, field, None)
        if value is not None:
            found.append((field, str(value)))
    for field in ('listen', 'internal_listen'):
        value = getattr(check.body, field, None)
        if not isinstance(value, listen_settings.ListenSettings):
            continue
        if value.port:
            found.append(('listen', f'{value.address}:{value.port}'))
    return found
