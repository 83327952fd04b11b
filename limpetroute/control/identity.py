"""The identity of a data folder's replica."""

import json
import logging
import pathlib
import secrets

from limpetroute.control import files as files_module
from limpetroute.control import folder_error

LOG = logging.getLogger(__name__)

IDENTITY = 'identity.json'


def load_or_make(
    *,
    folder: pathlib.Path,
    files: files_module.Files,
    host_id: str,
    journal_blank: bool,
    bootstrap_id: str = '',
) -> str:
    """Return the identity of a data folder's replica.

    An empty folder gets a new identity. Its votes and acknowledgements are
    lost: under the former identity the host could help to elect a second
    leader in one term, or be part of a quorum without entries that it has
    acknowledged. Only a group's first replicas have a predefined identity,
    ``bootstrap_id``; the caller may pass it only if this host was never
    part of the group before.

    Raises
    ------
    FolderError
        If the folder belongs to another host or lacks a file.
    """
    path = folder / IDENTITY
    data = files.read(path)
    if data is not None:
        return _load(path, data, host_id, journal_blank)
    if not journal_blank:
        raise folder_error.FolderError(
            message=(
                f'{path}: missing beside a journal. Move the folder aside '
                'and start again: the host comes back as a new replica'
            )
        )
    replica_id = bootstrap_id or f'{host_id}.{secrets.token_hex(6)}'
    files.replace(
        path,
        json.dumps({'host_id': host_id, 'replica_id': replica_id}).encode(),
    )
    LOG.warning('%s: empty folder, new replica %s', folder, replica_id)
    return replica_id


def _load(
    path: pathlib.Path, data: bytes, host_id: str, journal_blank: bool
) -> str:
    try:
        body = json.loads(data)
        owner = body['host_id']
        replica_id = str(body['replica_id'])
    except (ValueError, KeyError, TypeError) as exc:
        raise folder_error.FolderError(
            message=f'{path}: damaged: {data[:60]!r}'
        ) from exc
    if owner != host_id:
        raise folder_error.FolderError(
            message=f'{path}: belongs to host {owner!r}, not {host_id!r}'
        )
    return replica_id
