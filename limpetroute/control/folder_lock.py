"""Keeps a second process out of a data folder."""

import fcntl
import os
import pathlib

from limpetroute.control import folder_error


class FolderLock:
    """Keeps a second process out of a data folder.

    Two processes on one folder would both vote for one replica and
    write over each other's journal. The kernel drops the lock when its
    process ends, however it ends.

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
        """Let the folder go."""
        os.close(self._fd)
