"""The file with the first hosts and replicas of a control group."""

import json
import pathlib

from limpetroute.control import files as files_module
from limpetroute.control import folder_error

BOOTSTRAP_FILE = 'founding.json'


def load(
    *, folder: pathlib.Path, files: files_module.Files
) -> dict[str, str] | None:
    """Return the first replicas by host, or None if there is no file."""
    path = folder / BOOTSTRAP_FILE
    data = files.read(path)
    if data is None:
        return None
    try:
        body = json.loads(data)
        return {
            str(host): str(replica_id) for host, replica_id in body.items()
        }
    except (ValueError, AttributeError) as exc:
        raise folder_error.FolderError(
            message=f'{path}: damaged: {data[:60]!r}'
        ) from exc


def save(
    *,
    folder: pathlib.Path,
    files: files_module.Files,
    replicas: dict[str, str],
) -> None:
    """Write the first replicas by host."""
    files.replace(folder / BOOTSTRAP_FILE, json.dumps(replicas).encode())
