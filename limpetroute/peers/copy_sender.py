"""Sends news of this host's records to the host that copies them."""

import dataclasses
import typing

from limpetroute.peers import record_copy
from limpetroute.peers import request_record

__all__ = ['CopySender', 'OwnRecord']

MAX_ITEMS = 64
# A tenth of a second on a link of 5 Mbit/s, which is how often batches go.
MAX_BATCH_CHARS = 65536
_Mapping = typing.Mapping[str, typing.Any]


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnRecord:
    """A record of this host and what its copy is known to have.

    Parameters
    ----------
    record : RequestRecord
        The record.
    request : mapping
        The request, as the copy needs it.
    runner : callable
        Returns the try in progress.
    acked : RecordProgress or None
        Newest progress the copy has; None while it has nothing.
    """

    record: request_record.RequestRecord
    request: _Mapping
    runner: typing.Callable[[], _Mapping]
    acked: record_copy.RecordProgress | None = None


class CopySender:
    """Knows what the copy lacks, and who holds it.

    One host holds the copies of all this host's records. Were each
    record's copy elsewhere, a host that takes over could not tell an
    old copy from the newest.

    Parameters
    ----------
    owner : str
        This host and its incarnation.
    """

    __slots__ = ('_dropped', '_owner', '_quiet', '_records', 'successor_id')

    def __init__(self, *, owner: str) -> None:
        self._owner = owner
        self._records: dict[str, OwnRecord] = {}
        # Ended, told to the caller, and copied: looked at no more, or
        # each round would go over all that is kept for a resume.
        self._quiet: dict[str, OwnRecord] = {}
        self._dropped: list[str] = []
        self.successor_id = ''

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(successor_id={self.successor_id!r}, '
            f'records={len(self._records)!r})'
        )

    def __len__(self) -> int:
        return len(self._records) + len(self._quiet)

    def add(self, own: OwnRecord) -> None:
        """Send a record's news from now on."""
        self._records[own.record.request_id] = own

    def remove(self, request_id: str) -> None:
        """Have the copy of a record dropped."""
        known = self._records.pop(request_id, None)
        known = known or self._quiet.pop(request_id, None)
        if known is not None:
            self._dropped.append(request_id)

    def release(self, request_id: str) -> None:
        """Send nothing more of a record that the successor goes on with."""
        self._records.pop(request_id, None)
        self._quiet.pop(request_id, None)

    def set_successor(self, successor_id: str) -> None:
        """Copy everything to another host."""
        if successor_id == self.successor_id:
            return
        self.successor_id = successor_id
        self._dropped.clear()
        self._records.update(self._quiet)
        self._quiet.clear()
        for own in self._records.values():
            own.acked = None

    def is_copied(self, request_id: str) -> bool:
        """Whether the successor has the record."""
        if request_id in self._quiet:
            return True
        own = self._records.get(request_id)
        return own is not None and own.acked is not None

    @property
    def uncopied(self) -> int:
        """Records that the successor has nothing of."""
        return sum(own.acked is None for own in self._records.values())

    def batch(self, only: str | None = None) -> record_copy.CopyBatch | None:
        """Return news that the copy lacks, or None.

        A batch is bounded by its size. After a change of successor, whole
        records in one batch take longer on a slow link than its deadline
        is; sent again as a whole each time, no copy ever gets there.

        Parameters
        ----------
        only : str or None
            A request to send alone, at once.
        """
        items: list[record_copy.CopyItem] = []
        chars = 0
        for request_id, own in self._records.items():
            if only is not None and request_id != only:
                continue
            item = _news(own)
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
        """Note what the copy has now."""
        if successor_id != self.successor_id or not reply.taken:
            return
        gone = set(batch.dropped)
        self._dropped = [name for name in self._dropped if name not in gone]
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
            if _is_over(own):
                del self._records[item.progress.request_id]
                self._quiet[item.progress.request_id] = own


def _is_over(own: OwnRecord) -> bool:
    acked = own.acked
    if acked is None or acked.end is None:
        return False
    return acked.end_delivered or acked.closing


def _news(own: OwnRecord) -> record_copy.CopyItem | None:
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
    if not progress.events and _same(progress, acked):
        return None
    return record_copy.CopyItem(progress=progress)


def _chars(item: record_copy.CopyItem) -> int:
    """Return about how long an item is as text."""
    chars = sum(map(len, item.progress.events))
    if item.facts is not None:
        chars += len(str(item.facts.request))
    return chars


def _same(
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
