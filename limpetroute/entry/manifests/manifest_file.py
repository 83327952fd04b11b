"""Stores the newest manifest on the disk of an entry host."""

import logging
import os
import pathlib

from limpetroute.border import errors
from limpetroute.border import manifest as manifest_module

LOG = logging.getLogger(__name__)

NAME = 'manifest.json'


class ManifestFile:
    """File with the newest manifest, which survives a restart.

    Parameters
    ----------
    folder : pathlib.Path or None
        State folder; None stores nothing.
    """

    __slots__ = ('_path',)

    def __init__(self, *, folder: pathlib.Path | None) -> None:
        self._path = None if folder is None else folder / NAME

    def __repr__(self) -> str:
        return f'{type(self).__name__}(path={str(self._path)!r})'

    def load(self) -> manifest_module.ManifestBody | None:
        """Return the stored manifest; None if none can be used."""
        if self._path is None:
            return None
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as exc:
            LOG.warning('%s: cannot be read: %s', self._path, exc)
            return None
        try:
            return errors.parse(manifest_module.ManifestBody, data)
        except errors.InvalidInputError as exc:
            LOG.warning('%s: not used: %s', self._path, exc)
            return None

    def save(self, body: manifest_module.ManifestBody) -> None:
        """Store a manifest; a write error is only logged.

        The control hosts have the manifest too, so the entry host gets
        it from them after its next start.
        """
        if self._path is None:
            return
        new_path = self._path.with_name(NAME + '.new')
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            with new_path.open('wb') as file:
                file.write(body.model_dump_json().encode())
                file.flush()
                os.fsync(file.fileno())
            os.replace(new_path, self._path)
        except OSError as exc:
            LOG.warning('%s: cannot keep the manifest: %s', self._path, exc)
