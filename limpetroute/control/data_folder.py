"""A control host's data folder: lock, identity, journal, bootstrap file."""

import pathlib

from limpetroute.agreement import bootstrap
from limpetroute.agreement import saved_state
from limpetroute.agreement import snapshot as snapshot_module
from limpetroute.control import bootstrap_file
from limpetroute.control import files as files_module
from limpetroute.control import folder_error
from limpetroute.control import folder_lock
from limpetroute.control import identity
from limpetroute.control import journal as journal_module


class DataFolder:
    """A control host's data folder: lock, identity, journal, bootstrap file.

    Parameters
    ----------
    folder : pathlib.Path
        The folder; created if it does not exist.
    host_id : str
        The host that owns the folder.
    files : Files
        The file system.
    rewrite_bytes : int
        See `Journal`.
    bootstrap_replicas : dict of str to str or None
        The first replicas of the group by host, if this host may bootstrap
        a group with them when its folder is empty.

    Raises
    ------
    FolderError
        If the folder is in use, damaged, another host's, or not writable.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        host_id: str,
        files: files_module.Files | None = None,
        rewrite_bytes: int = journal_module.REWRITE_BYTES,
        bootstrap_replicas: dict[str, str] | None = None,
    ) -> None:
        self.folder = folder
        self._files = files or files_module.DiskFiles()
        self._closed = False
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = folder_lock.FolderLock(folder=folder)
        except OSError as exc:
            raise folder_error.FolderError(message=f'{folder}: {exc}') from exc
        try:
            self._open(host_id, rewrite_bytes, bootstrap_replicas or {})
        except OSError as exc:
            self._lock.close()
            raise folder_error.FolderError(message=f'{folder}: {exc}') from exc
        except folder_error.FolderError:
            self._lock.close()
            raise

    def __repr__(self) -> str:
        return f'{type(self).__name__}(folder={str(self.folder)!r})'

    def _open(
        self,
        host_id: str,
        rewrite_bytes: int,
        bootstrap_replicas: dict[str, str],
    ) -> None:
        journal_path = self.folder / journal_module.JOURNAL
        has_journal = self._files.read(journal_path) is not None
        known = self._files.read(self.folder / identity.IDENTITY)
        if known is not None and not has_journal:
            raise folder_error.FolderError(
                message=(
                    f'{journal_path}: missing. Move the folder aside and '
                    'start again: the host comes back as a new replica'
                )
            )
        self.journal = journal_module.Journal(
            folder=self.folder,
            files=self._files,
            rewrite_bytes=rewrite_bytes,
        )
        self.bootstrap_replicas = bootstrap_file.load(
            folder=self.folder, files=self._files
        )
        bootstrap_id = ''
        if (
            known is None
            and self.journal.blank
            and host_id in bootstrap_replicas
        ):
            # The bootstrap file is written before the identity. After a
            # crash between the two, the host bootstraps the same group
            # again, with the seeds of its first start.
            if self.bootstrap_replicas is None:
                self.bootstrap(bootstrap_replicas)
            bootstrap_id = bootstrap_replicas[host_id]
        self.replica_id = identity.load_or_make(
            folder=self.folder,
            files=self._files,
            host_id=host_id,
            journal_blank=self.journal.blank,
            bootstrap_id=bootstrap_id,
        )

    @property
    def blank(self) -> bool:
        """Whether this replica belongs to no group yet."""
        return self.bootstrap_replicas is None and self.journal.blank

    def bootstrap(self, replicas: dict[str, str]) -> None:
        """Store the first replicas of all groups."""
        bootstrap_file.save(
            folder=self.folder, files=self._files, replicas=replicas
        )
        self.bootstrap_replicas = replicas

    def saved(self, group: int) -> saved_state.SavedState:
        """Return the state that a group's replica starts from."""
        first = snapshot_module.Snapshot()
        if self.bootstrap_replicas is not None:
            first = bootstrap.initial_state(self.bootstrap_replicas).snapshot
        return self.journal.saved(group, first)

    def close(self) -> None:
        """Close the journal and release the lock. Idempotent."""
        if self._closed:
            return
        self._closed = True
        self.journal.close()
        self._lock.close()
