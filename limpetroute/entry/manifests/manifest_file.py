"""The newest manifest that an entry host keeps over its restart."""

import logging
import os
import pathlib

from limpetroute.border import errors
from limpetroute.border import manifest as manifest_module

LOG = logging.getLogger(__name__)

NAME = 'manifest.json'


class ManifestFile:
    """The newest manifest that an entry host keeps over its restart.

    Parameters
    ----------
    folder : pathlib.Path or None
        State folder; None keeps nothing.
    """

    __slots__ = ('_path',)

    def __init__(self, *, folder: pathlib.Path | None) -> None:
        self._path = None if folder is None else folder / NAME

    def __repr__(self) -> str:
        return f'{type(self).__name__}(path={str(self._path)!r})'

    def load(self) -> manifest_module.ManifestBody | None:
        """Return the manifest kept, or None."""
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
        """Keep a manifest; a disk that refuses costs a log line only.

        Control has it in any case; the host then learns it from there
        at its next start.
        """
        if self._path is None:
            return
        aside = self._path.with_name(NAME + '.new')
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            with aside.open('wb') as file:
                file.write(body.model_dump_json().encode())
                file.flush()
                os.fsync(file.fileno())
            os.replace(aside, self._path)
        except OSError as exc:
            LOG.warning('%s: cannot keep the manifest: %s', self._path, exc)
