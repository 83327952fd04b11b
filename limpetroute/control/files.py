"""The few file operations that the control log rests on."""

import os
import pathlib
import typing


class AppendFile(typing.Protocol):
    """A file that grows."""

    def write(self, data: bytes) -> None:
        """Write at the end; `OSError` if not all of it was taken."""

    def sync(self) -> None:
        """Return once all of it is on disk."""

    def close(self) -> None:
        """Close it."""


class Files(typing.Protocol):
    """The file system, or a fake with faults."""

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return a file's content, or None if there is none."""

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Put a whole new file in place; it lasts on return."""

    def open_append(self, path: pathlib.Path) -> AppendFile:
        """Open a file to write at its end."""


class DiskFile:
    """A file that grows.

    Parameters
    ----------
    path : pathlib.Path
        An existing file.
    """

    __slots__ = ('_fd',)

    def __init__(self, *, path: pathlib.Path) -> None:
        self._fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(fd={self._fd!r})'

    def write(self, data: bytes) -> None:
        """Write at the end."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        """Return once all of it is on disk."""
        os.fdatasync(self._fd)

    def close(self) -> None:
        """Close it."""
        os.close(self._fd)


class DiskFiles:
    """The file system."""

    __slots__ = ()

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return a file's content, or None if there is none."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Put a whole new file in place; it lasts on return.

        The content is synced before the rename and the folder after
        it: a crash leaves the old file or the new one, never a part.
        """
        aside = path.with_name(path.name + '.new')
        fd = os.open(
            aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
        )
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            os.fsync(fd)
        finally:
            os.close(fd)
        os.replace(aside, path)
        self._sync_folder(path.parent)

    def open_append(self, path: pathlib.Path) -> AppendFile:
        """Open a file to write at its end."""
        return DiskFile(path=path)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
