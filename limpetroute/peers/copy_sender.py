"""Sends updates of this host's records to the host that copies them."""

import dataclasses
import typing

from limpetroute.peers import record_copy
from limpetroute.peers import request_record

__all__ = ['CopySender', 'OwnRecord']

MAX_ITEMS = 64
# Takes 0.1 s, the interval between batches, on a link of 5 Mbit/s.
MAX_BATCH_CHARS = 65536
_Mapping = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnRecord:
    """A record of this host and the state that its copy has confirmed.

    Parameters
    ----------
    record : RequestRecord
        The record.
    request : mapping
        The request, with all that a successor needs to continue it.
    runner : callable
        Returns the attempt in progress: its runner and run id.
    acked : RecordProgress or None
        Newest progress that the copy has; None if there is no copy yet.
    """

    record: request_record.RequestRecord
    request: _Mapping
    runner: typing.Callable[[], _Mapping]
    acked: record_copy.RecordProgress | None = None


class CopySender:
    """Tracks which updates the successor's copies still lack.

    One host, the successor, holds the copies of all records of this
    host. If each record had its copy on a different host, a host that
    takes over could not tell an old copy from the newest.

    Parameters
    ----------
    owner : str
        Name of this host and its incarnation.
    """

    __slots__ = ('_dropped', '_owner', '_finished', '_records', 'successor_id')

    def __init__(self, *, owner: str) -> None:
        self._owner = owner
        self._records: dict[str, OwnRecord] = {}
        # Records whose end was delivered and copied. They are kept apart
        # so that a batch does not scan all records kept for a resume.
        self._finished: dict[str, OwnRecord] = {}
        self._dropped: list[str] = []
        self.successor_id = ''

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(successor_id={self.successor_id!r}, '
            f'records={len(self._records)!r})'
        )

    def __len__(self) -> int:
        return len(self._records) + len(self._finished)

    def add(self, own: OwnRecord) -> None:
        """Start to send updates of a record."""
        self._records[own.record.request_id] = own

    def remove(self, request_id: str) -> None:
        """Stop copying a record and have its copy dropped."""
        own = self._records.pop(request_id, None)
        own = own or self._finished.pop(request_id, None)
        if own is not None:
            self._dropped.append(request_id)

    def release(self, request_id: str) -> None:
        """Stop copying a record that the successor has taken over."""
        self._records.pop(request_id, None)
        self._finished.pop(request_id, None)

    def set_successor(self, successor_id: str) -> None:
        """Copy all records to another host from now on."""
        if successor_id == self.successor_id:
            return
        self.successor_id = successor_id
        self._dropped.clear()
        self._records.update(self._finished)
        self._finished.clear()
        for own in self._records.values():
            own.acked = None

    def is_copied(self, request_id: str) -> bool:
        """Whether the successor has a copy of the record."""
        if request_id in self._finished:
            return True
        own = self._records.get(request_id)
        return own is not None and own.acked is not None

    @property
    def uncopied(self) -> int:
        """Number of records of which the successor has no copy."""
        return sum(own.acked is None for own in self._records.values())

    def batch(self, only: str | None = None) -> record_copy.CopyBatch | None:
        """Return the next updates that the copies lack, or None.

        The size of a batch is bounded. After a change of successor all
        records must be sent whole. In one batch they would exceed the
        deadline on a slow link and be sent again in full each time, so
        no copy would ever arrive.

        Parameters
        ----------
        only : str or None
            Id of the only request to include; None for all requests.
        """
        items: list[record_copy.CopyItem] = []
        chars = 0
        for request_id, own in self._records.items():
            if only is not None and request_id != only:
                continue
            item = _update(own)
            if item is None:
                continue
            chars += _chars(item)
            if items and chars > MAX_BATCH_CHARS:
                break
            items.append(item)
            if len(items) == MAX_ITEMS:
                break
        dropped = tuple(self._dropped) if only is None else ()
        if not items and not dropped:
            return None
        return record_copy.CopyBatch(
            owner=self._owner, items=tuple(items), dropped=dropped
        )

    def on_reply(
        self,
        batch: record_copy.CopyBatch,
        reply: record_copy.CopyReply,
        successor_id: str,
    ) -> None:
        """Record which updates the successor has confirmed."""
        if successor_id != self.successor_id or not reply.taken:
            return
        dropped = set(batch.dropped)
        self._dropped = [name for name in self._dropped if name not in dropped]
        for item in batch.items:
            own = self._records.get(item.progress.request_id)
            if own is None:
                continue
            if item.progress.request_id in reply.missing:
                own.acked = None
                continue
            if own.acked is None and item.facts is None:
                continue
            own.acked = item.progress
            if _is_finished(own):
                del self._records[item.progress.request_id]
                self._finished[item.progress.request_id] = own


def _is_finished(own: OwnRecord) -> bool:
    acked = own.acked
    if acked is None or acked.end is None:
        return False
    return acked.end_delivered or acked.closing


def _update(own: OwnRecord) -> record_copy.CopyItem | None:
    record = own.record
    acked = own.acked
    from_index = 0
    if acked is not None:
        from_index = acked.from_index + len(acked.events)
    progress = record_copy.RecordProgress(
        request_id=record.request_id,
        from_index=from_index,
        events=tuple(record.events[from_index:]),
        end=record.end,
        attachment_number=record.attachment_number,
        delivered_index=record.delivered_index,
        end_delivered=record.end_delivered,
        closing=record.closing,
        runner=own.runner(),
    )
    if acked is None:
        return record_copy.CopyItem(progress=progress, facts=_facts(own))
    if not progress.events and _is_unchanged(progress, acked):
        return None
    return record_copy.CopyItem(progress=progress)


def _chars(item: record_copy.CopyItem) -> int:
    """Estimate the length of an encoded item in characters."""
    chars = sum(map(len, item.progress.events))
    if item.facts is not None:
        chars += len(str(item.facts.request))
    return chars


def _is_unchanged(
    new: record_copy.RecordProgress, old: record_copy.RecordProgress
) -> bool:
    return dataclasses.replace(
        new, from_index=0, events=()
    ) == dataclasses.replace(old, from_index=0, events=())


def _facts(own: OwnRecord) -> record_copy.RecordFacts:
    record = own.record
    return record_copy.RecordFacts(
        request_id=record.request_id,
        team=record.team,
        key=record.key,
        body_digest=record.body_digest,
        run_id=record.run_id,
        request=own.request,
    )
