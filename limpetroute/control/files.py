"""The file operations that the control log needs."""

import os
import pathlib
import typing


class AppendFile(typing.Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Append data.

        Raises
        ------
        OSError
            If not all of it was written.
        """

    def sync(self) -> None:
        """Return once all written data is on disk."""

    def close(self) -> None:
        """Close the file."""


class Files(typing.Protocol):
    """The file system, or a fake that injects faults."""

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return a file's content, or None if it does not exist."""

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replace a file atomically; the new one is durable on return."""

    def open_append(self, path: pathlib.Path) -> AppendFile:
        """Open a file for appending."""


class DiskFile:
    """A file on disk, opened for appending.

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
        """Append data."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        """Return once all written data is on disk."""
        os.fdatasync(self._fd)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)


class DiskFiles:
    """The host's file system."""

    __slots__ = ()

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return a file's content, or None if it does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replace a file atomically; the new one is durable on return.

        The content is synced before the rename and the folder after it, so
        a crash leaves either the old file or the new one, never a part.
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
        """Open a file for appending."""
        return DiskFile(path=path)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
