"""A lock that keeps a second process from using a data folder."""

import fcntl
import os
import pathlib

from limpetroute.control import folder_error


class FolderLock:
    """A lock that keeps a second process from using a data folder.

    Two processes on one folder would both vote as one replica and overwrite
    each other's journal. The kernel releases the lock when the process
    ends, even after a crash.

    Parameters
    ----------
    folder : pathlib.Path
        An existing folder.
    """

    __slots__ = ('_fd',)

    def __init__(self, *, folder: pathlib.Path) -> None:
        path = folder / 'lock'
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            os.close(self._fd)
            raise folder_error.FolderError(
                message=f'{folder}: another process uses this data folder'
            ) from exc

    def __repr__(self) -> str:
        return f'{type(self).__name__}(fd={self._fd!r})'

    def close(self) -> None:
        """Release the lock."""
        os.close(self._fd)
