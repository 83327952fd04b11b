import errno
import logging

import pytest

from limpetroute import agreement
from limpetroute.control import data_folder
from limpetroute.control import folder_error
from limpetroute.control import journal as journal_module
from tests.control import failing_files


def _open(folder, **kwargs):
    return data_folder.DataFolder(folder=folder, host_id='c1', **kwargs)


def _entries(first, last, term=1):
    return agreement.SaveEntries(
        entries=tuple(
            agreement.Entry(index=index, term=term, data=b'e%d' % index)
            for index in range(first, last + 1)
        )
    )


def _write(folder, *writes, group=0, write_id=1):
    folder.journal.write(
        [
            journal_module.GroupWrites(
                group=group, write_id=write_id, writes=writes
            )
        ]
    )


def _snapshot(index, term=1, keeps_log=True):
    return agreement.SaveSnapshot(
        snapshot=agreement.Snapshot(
            last_index=index, last_term=term, data=b'state-%d' % index
        ),
        keeps_log=keeps_log,
    )


def _indexes(folder, group=0):
    return [entry.index for entry in folder.saved(group).entries]


def test_writes_of_two_groups_are_restored(tmp_path):
    folder = _open(tmp_path)
    _write(folder, agreement.SaveVote(term=3, voted_for='c2.x'))
    _write(folder, _entries(1, 4), _snapshot(2), group=1)
    _write(folder, _entries(4, 5, term=2), group=1)
    name = folder.replica_id
    folder.close()
    again = _open(tmp_path)
    assert again.replica_id == name
    assert again.saved(0).term == 3
    assert again.saved(0).voted_for == 'c2.x'
    assert again.saved(1).snapshot.data == b'state-2'
    terms = [(one.index, one.term) for one in again.saved(1).entries]
    assert terms == [(3, 1), (4, 2), (5, 2)]
    again.close()


def test_torn_tail_is_cut_at_any_byte(tmp_path, caplog):
    """The host loses power during a write.

    A part of the last frame is on disk. It was never acknowledged, so it is
    truncated with a log message, and all synced frames are restored.
    """
    folder = _open(tmp_path / 'whole')
    _write(folder, _entries(1, 3))
    path = tmp_path / 'whole' / 'journal'
    synced = len(path.read_bytes())
    _write(folder, _entries(4, 6))
    folder.close()
    data = path.read_bytes()
    for end in range(synced + 1, len(data)):
        copy = tmp_path / f'cut-{end}'
        copy.mkdir()
        for name in ('identity.json', 'lock'):
            text = (tmp_path / 'whole' / name).read_bytes()
            (copy / name).write_bytes(text)
        (copy / 'journal').write_bytes(data[:end])
        caplog.clear()
        with caplog.at_level(logging.WARNING):
            truncated = _open(copy)
        assert 'torn last write' in caplog.text
        assert _indexes(truncated) == [1, 2, 3]
        _write(truncated, _entries(4, 4))
        truncated.close()
        again = _open(copy)
        assert _indexes(again) == [1, 2, 3, 4]
        again.close()


def test_corrupt_middle_is_refused(tmp_path):
    """A bit flips in the middle of the journal.

    The frame may have been acknowledged, so neither it nor the frames after
    it are dropped. The process reports the offset and changes nothing.
    """
    folder = _open(tmp_path)
    _write(folder, _entries(1, 3))
    _write(folder, _entries(4, 6))
    folder.close()
    path = tmp_path / 'journal'
    data = bytearray(path.read_bytes())
    for position in range(0, len(data) // 2, 7):
        broken = bytearray(data)
        broken[position] ^= 0x10
        path.write_bytes(broken)
        with pytest.raises(folder_error.FolderError, match='damaged at byte'):
            _open(tmp_path)
        assert path.read_bytes() == broken


def test_damaged_or_missing_snapshot_is_refused(tmp_path):
    folder = _open(tmp_path)
    _write(folder, _entries(1, 3), _snapshot(3))
    folder.close()
    path = tmp_path / 'snapshot-0'
    data = path.read_bytes()
    path.write_bytes(data[:-1])
    with pytest.raises(folder_error.FolderError, match='damaged'):
        _open(tmp_path)
    path.unlink()
    with pytest.raises(folder_error.FolderError, match='missing'):
        _open(tmp_path)


@pytest.mark.parametrize(
    ('last_term', 'kept'), [(1, [4, 5]), (2, [])], ids=['own', 'another']
)
def test_crash_between_snapshot_and_journal(tmp_path, last_term, kept):
    """A snapshot file was written, but not its record in the journal.

    Entries after the snapshot are kept only if the journal's entry at the
    snapshot's index has the same term. Otherwise they belong to a log that
    was overwritten.
    """
    folder = _open(tmp_path)
    _write(folder, _entries(1, 5))
    before = (tmp_path / 'journal').read_bytes()
    _write(folder, _snapshot(3, term=last_term, keeps_log=last_term == 1))
    folder.close()
    (tmp_path / 'journal').write_bytes(before)
    again = _open(tmp_path)
    assert again.saved(0).snapshot.last_index == 3
    assert _indexes(again) == kept
    again.close()


def test_two_processes_on_one_folder(tmp_path):
    folder = _open(tmp_path)
    with pytest.raises(folder_error.FolderError, match='another process'):
        _open(tmp_path)
    folder.close()
    _open(tmp_path).close()


def test_lost_disk_is_a_new_replica(tmp_path):
    """A disk is replaced by an empty one, or a file of it is lost.

    An empty folder gets a new replica identity. A folder that lacks only
    its journal or its identity is refused.
    """
    folder = _open(tmp_path / 'a')
    _write(folder, _entries(1, 1))
    folder.close()
    other = _open(tmp_path / 'b')
    assert other.replica_id != folder.replica_id
    other.close()
    (tmp_path / 'b' / 'journal').unlink()
    with pytest.raises(folder_error.FolderError, match='missing'):
        _open(tmp_path / 'b')
    (tmp_path / 'a' / 'identity.json').unlink()
    with pytest.raises(folder_error.FolderError, match='missing'):
        _open(tmp_path / 'a')
    _open(tmp_path / 'c').close()
    with pytest.raises(folder_error.FolderError, match='belongs to host'):
        data_folder.DataFolder(folder=tmp_path / 'c', host_id='c9')


@pytest.mark.parametrize('at', ['write', 'sync'])
@pytest.mark.parametrize('error', [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_failed_write_is_never_trusted_again(tmp_path, at, error):
    """The disk becomes full or read-only, or a sync fails.

    A second sync may succeed without the lost pages, so the journal accepts
    no further write even if the disk works again. After a restart all
    acknowledged entries are restored.
    """
    files = failing_files.FailingFiles()
    folder = _open(tmp_path, files=files)
    _write(folder, _entries(1, 3))
    files.error, files.at = error, at
    with pytest.raises(OSError, match=errno.errorcode[error]):
        _write(folder, _entries(4, 4))
    files.error = 0
    with pytest.raises(OSError, match='failed earlier'):
        _write(folder, _entries(4, 4))
    folder.close()
    again = _open(tmp_path)
    assert _indexes(again)[:3] == [1, 2, 3]
    again.close()


def test_journal_is_rewritten_after_a_snapshot(tmp_path):
    folder = _open(tmp_path, rewrite_bytes=2000)
    for index in range(1, 200):
        _write(folder, _entries(index, index))
        if index % 50 == 0:
            _write(folder, _snapshot(index))
    assert (tmp_path / 'journal').stat().st_size < 5000
    folder.close()
    again = _open(tmp_path)
    assert again.saved(0).snapshot.last_index == 150
    assert _indexes(again) == list(range(151, 200))
    again.close()


def test_error_of_an_unwritable_folder_has_the_cause(tmp_path):
    files = failing_files.FailingFiles()
    files.error = errno.ENOSPC
    with pytest.raises(folder_error.FolderError, match='ENOSPC'):
        _open(tmp_path, files=files)
