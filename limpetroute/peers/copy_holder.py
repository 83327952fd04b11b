"""Copies of other hosts' request records."""

import dataclasses

from limpetroute.peers import record_copy
from limpetroute.peers import request_record

__all__ = ['CopyHolder', 'CopiedRecord']

MAX_COPIES = 50_000


@dataclasses.dataclass(kw_only=True, slots=True)
class CopiedRecord:
    """A copy of a record.

    Parameters
    ----------
    owner : str
        The host that holds the record, and its incarnation.
    facts : RecordFacts
        Part of the record that never changes.
    progress : RecordProgress
        Newest progress received; its ``events`` are all events so far.
    """

    owner: str
    facts: record_copy.RecordFacts
    progress: record_copy.RecordProgress

    def restore(self) -> request_record.RequestRecord:
        """Build the record with which the new owner continues."""
        facts = self.facts
        progress = self.progress
        record = request_record.RequestRecord(
            request_id=facts.request_id,
            team=facts.team,
            key=facts.key,
            body_digest=facts.body_digest,
            run_id=facts.run_id,
        )
        record.events = list(progress.events)
        record.end = progress.end
        record.attachment_number = progress.attachment_number
        record.delivered_index = progress.delivered_index
        # An end that may have been delivered counts as delivered: sending
        # it again could duplicate the answer, and a caller that missed it
        # can still resume from its last event.
        record.end_delivered = progress.end_delivered or progress.closing
        record.closing = progress.closing
        # The former owner may have delivered events after its last copy.
        record.delivery_unsure = bool(facts.request.get('stream'))
        return record


class CopyHolder:
    """Keeps copies of records and gives each out once, to a new owner.

    A host takes over an owner's copies only while it holds the lease on
    that owner's records. The lease becomes free only after the owner
    has stopped using it.
    """

    __slots__ = ('_by_name', '_by_owner', '_count', '_open', '_taken')

    def __init__(self) -> None:
        self._by_owner: dict[str, dict[str, CopiedRecord]] = {}
        self._taken: dict[str, None] = {}
        # Every look-up of a request reads this index, so it must not
        # scan all copies.
        self._by_name: dict[tuple[str, str], CopiedRecord] = {}
        self._open: dict[tuple[str, str], CopiedRecord] = {}
        self._count = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(copies={len(self)!r})'

    def __len__(self) -> int:
        return self._count

    @property
    def owners(self) -> tuple[str, ...]:
        """Owners that have copies of their records here."""
        return tuple(self._by_owner)

    def take(self, batch: record_copy.CopyBatch) -> record_copy.CopyReply:
        """Apply a batch of updates to an owner's records."""
        if batch.owner in self._taken:
            return record_copy.CopyReply(taken=False)
        copies = self._by_owner.setdefault(batch.owner, {})
        for request_id in batch.dropped:
            self._remove(copies.pop(request_id, None))
        missing = [
            item.progress.request_id
            for item in batch.items
            if not self._apply(batch.owner, copies, item)
        ]
        if not copies:
            del self._by_owner[batch.owner]
        return record_copy.CopyReply(taken=True, missing=tuple(missing))

    def find(self, team: str, name: str) -> CopiedRecord | None:
        """Find a team's copy by key, request id or run id."""
        return self._by_name.get((team, name))

    def open_runs(self) -> set[str]:
        """Return the run ids of copied requests that have not ended."""
        return {
            str(copied.progress.runner.get('run_id', ''))
            for copied in self._open.values()
        }

    def take_over(self, owner: str) -> list[CopiedRecord]:
        """Remove and return an owner's copies; requires the owner's lease."""
        self._taken[owner] = None
        taken = list(self._by_owner.pop(owner, {}).values())
        for copied in taken:
            self._remove(copied)
        return taken

    def drop(self, owner: str) -> None:
        """Drop an owner's copies because another host has newer ones."""
        for copied in self._by_owner.pop(owner, {}).values():
            self._remove(copied)

    def _apply(
        self,
        owner: str,
        copies: dict[str, CopiedRecord],
        item: record_copy.CopyItem,
    ) -> bool:
        progress = item.progress
        old = copies.get(progress.request_id)
        if old is None:
            if item.facts is None or progress.from_index:
                return False
            if len(self) >= MAX_COPIES:
                return False
            copied = CopiedRecord(
                owner=owner, facts=item.facts, progress=progress
            )
            copies[progress.request_id] = copied
            self._add(copied)
            return True
        old_events = old.progress.events
        if progress.from_index > len(old_events):
            return False
        if progress.attachment_number < old.progress.attachment_number:
            return True
        events = old_events[: progress.from_index] + progress.events
        if len(events) < len(old_events):
            # This is an older batch that arrived late.
            return True
        old.progress = dataclasses.replace(
            progress, from_index=0, events=events
        )
        if progress.end is not None:
            self._open.pop((owner, progress.request_id), None)
        return True

    def _add(self, copied: CopiedRecord) -> None:
        self._count += 1
        for name in _names(copied):
            self._by_name[name] = copied
        if copied.progress.end is None:
            self._open[copied.owner, copied.facts.request_id] = copied

    def _remove(self, copied: CopiedRecord | None) -> None:
        if copied is None:
            return
        self._count -= 1
        for name in _names(copied):
            # The key may belong to a newer request by now.
            if self._by_name.get(name) is copied:
                del self._by_name[name]
        self._open.pop((copied.owner, copied.facts.request_id), None)


def _names(copied: CopiedRecord) -> list[tuple[str, str]]:
    facts = copied.facts
    names = (facts.key, facts.request_id, facts.run_id)
    return [(facts.team, name) for name in names]
