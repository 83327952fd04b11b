"""The journal that all groups of one process share."""

import dataclasses
import logging
import pathlib
import typing

from limpetroute.agreement import effects
from limpetroute.agreement import saved_state
from limpetroute.agreement import snapshot as snapshot_module
from limpetroute.control import files as files_module
from limpetroute.control import folder_error
from limpetroute.control import frames
from limpetroute.control import group_image
from limpetroute.control import snapshot_codec
from limpetroute.control import write_codec

LOG = logging.getLogger(__name__)

JOURNAL = 'journal'
REWRITE_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupWrites:
    """Writes of one group's replica, up to ``write_id``."""

    group: int
    write_id: int
    writes: tuple[effects.Write, ...]


class Journal:
    """The journal that all groups of one process share.

    One frame and one sync contain the writes of many steps and groups
    (group commit). Snapshots are stored in separate files.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    files : Files
        The file system.
    rewrite_bytes : int
        Size above which the journal is rewritten after a snapshot.

    Raises
    ------
    FolderError
        If the folder's content is damaged or cannot be written.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        files: files_module.Files,
        rewrite_bytes: int = REWRITE_BYTES,
    ) -> None:
        self._folder = folder
        self._files = files
        self._path = folder / JOURNAL
        self._rewrite_bytes = rewrite_bytes
        self._images: dict[int, group_image.GroupImage] = {}
        self._snapshots: dict[int, snapshot_module.Snapshot] = {}
        self._bytes = 0
        self.broken = ''
        self.frames_written = 0
        self._recover()
        self.blank = not self._images
        self._file = self._open()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(folder={str(self._folder)!r})'

    def saved(
        self, group: int, bootstrap: snapshot_module.Snapshot
    ) -> saved_state.SavedState:
        """Return the state that a group's replica starts from.

        Parameters
        ----------
        group : int
            Number of the group.
        bootstrap : Snapshot
            Used if the group has no snapshot of its own yet.
        """
        image = self._images.setdefault(group, group_image.GroupImage())
        return image.saved(self._snapshots.get(group, bootstrap))

    def write(self, batch: typing.Sequence[GroupWrites]) -> None:
        """Write a batch, which is on disk on return.

        Raises
        ------
        OSError
            If the write failed. All later writes fail too.
        """
        if self.broken:
            raise OSError(f'journal failed earlier: {self.broken}')
        try:
            self._write(batch)
        except OSError as exc:
            # After a failed sync, the kernel may mark the unwritten pages
            # clean. A second sync of the file would succeed without them,
            # so this file is not used again.
            self.broken = str(exc)
            raise

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _write(self, batch: typing.Sequence[GroupWrites]) -> None:
        self.blank = False
        parts = []
        rewrites = False
        for item in batch:
            image = self._images.setdefault(
                item.group, group_image.GroupImage()
            )
            for write in item.writes:
                if isinstance(write, effects.SaveSnapshot):
                    self._save_snapshot(item.group, write.snapshot)
                    rewrites = True
                image.apply(write)
                parts.append(write_codec.encode(item.group, write))
        frame = frames.encode(b''.join(parts))
        self._file.write(frame)
        self._file.sync()
        self.frames_written += 1
        self._bytes += len(frame)
        if rewrites and self._bytes >= self._rewrite_bytes:
            self._file.close()
            self._file = self._open()

    def _save_snapshot(
        self, group: int, snapshot: snapshot_module.Snapshot
    ) -> None:
        data = frames.encode(snapshot_codec.encode(snapshot))
        self._files.replace(self._snapshot_path(group), data)
        self._snapshots[group] = snapshot

    def _snapshot_path(self, group: int) -> pathlib.Path:
        return self._folder / f'snapshot-{group}'

    def _recover(self) -> None:
        data = self._files.read(self._path) or b''
        found = frames.scan(data)
        if isinstance(found, frames.CorruptMiddle):
            raise folder_error.FolderError(
                message=(
                    f'{self._path}: damaged at byte {found.offset}, and '
                    f'whole records follow at byte {found.next_offset}. '
                    'Nothing was changed. Move the folder aside and start '
                    'again: the host comes back as a new replica'
                )
            )
        for payload in found.payloads:
            self._apply(payload)
        if found.torn_bytes:
            LOG.warning(
                '%s: cut %d bytes of a torn last write',
                self._path,
                found.torn_bytes,
            )
        for group in self._images:
            self._load_snapshot(group)

    def _apply(self, payload: bytes) -> None:
        try:
            write_codec.apply_all(payload, self._images)
        except ValueError as exc:
            raise folder_error.FolderError(
                message=f'{self._path}: {exc}'
            ) from exc

    def _load_snapshot(self, group: int) -> None:
        path = self._snapshot_path(group)
        image = self._images[group]
        data = self._files.read(path)
        if data is None:
            if image.base_index:
                raise folder_error.FolderError(
                    message=f'{path}: missing, and the journal needs it'
                )
            return
        found = frames.scan(data)
        if isinstance(found, frames.CorruptMiddle) or not found.payloads:
            raise folder_error.FolderError(
                message=(
                    f'{path}: damaged. Move the folder aside and start '
                    'again: the host comes back as a new replica'
                )
            )
        snapshot = snapshot_codec.decode(found.payloads[0])
        if snapshot.last_index < image.base_index:
            raise folder_error.FolderError(
                message=f'{path}: older than the journal beside it'
            )
        if snapshot.last_index > image.base_index:
            image.catch_up(snapshot)
        self._snapshots[group] = snapshot

    def _open(self) -> files_module.AppendFile:
        """Rewrite the journal and open it.

        This is also done at start: after a failed sync, the content may
        have been read from the page cache and must be synced again.
        """
        parts = []
        for group, image in sorted(self._images.items()):
            parts.append(
                write_codec.encode_base(
                    group, image.base_index, image.base_term, False
                )
            )
            parts.append(
                write_codec.encode_vote(group, image.term, image.voted_for)
            )
            parts.append(write_codec.encode_entries(group, image.entries))
        frame = frames.encode(b''.join(parts)) if parts else b''
        self._files.replace(self._path, frame)
        self._bytes = len(frame)
        return self._files.open_append(self._path)
