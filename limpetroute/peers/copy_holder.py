"""Copies of other hosts' request records."""

import dataclasses
import typing

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
        What never changes.
    progress : RecordProgress
        Newest progress; its ``events`` are all events so far.
    """

    owner: str
    facts: record_copy.RecordFacts
    progress: record_copy.RecordProgress

    def restore(self) -> request_record.RequestRecord:
        """Make the record that the new owner goes on with."""
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
        # Told perhaps is told: twice would be a doubled answer, and who
        # did not get it can still ask for it by its events.
        record.end_delivered = progress.end_delivered or progress.closing
        record.closing = progress.closing
        # The owner may have delivered more than it could still report.
        record.delivery_unsure = bool(facts.request.get('stream'))
        return record


class CopyHolder:
    """Keeps copies, and gives them up to a new owner once.

    An owner's copies are taken over only with the lease on that
    owner's records, which is free when its own use has ended.
    """

    __slots__ = ('_by_owner', '_taken')

    def __init__(self) -> None:
        self._by_owner: dict[str, dict[str, CopiedRecord]] = {}
        self._taken: dict[str, None] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(copies={len(self)!r})'

    def __len__(self) -> int:
        return sum(len(copies) for copies in self._by_owner.values())

    @property
    def owners(self) -> tuple[str, ...]:
        """Owners whose records are copied here."""
        return tuple(self._by_owner)

    def take(self, batch: record_copy.CopyBatch) -> record_copy.CopyReply:
        """Take news of an owner's records."""
        if batch.owner in self._taken:
            return record_copy.CopyReply(taken=False)
        copies = self._by_owner.setdefault(batch.owner, {})
        for request_id in batch.dropped:
            copies.pop(request_id, None)
        missing = [
            item.progress.request_id
            for item in batch.items
            if not self._apply(batch.owner, copies, item)
        ]
        if not copies:
            del self._by_owner[batch.owner]
        return record_copy.CopyReply(taken=True, missing=tuple(missing))

    def copies(self) -> typing.Iterator[CopiedRecord]:
        """Return every copy."""
        for copies in self._by_owner.values():
            yield from copies.values()

    def take_over(self, owner: str) -> list[CopiedRecord]:
        """Give out an owner's copies; call it under the owner's lease."""
        self._taken[owner] = None
        return list(self._by_owner.pop(owner, {}).values())

    def drop(self, owner: str) -> None:
        """Drop copies that another host has newer ones of."""
        self._by_owner.pop(owner, None)

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
            copies[progress.request_id] = CopiedRecord(
                owner=owner, facts=item.facts, progress=progress
            )
            return True
        known = old.progress.events
        if progress.from_index > len(known):
            return False
        if progress.attachment_number < old.progress.attachment_number:
            return True
        events = known[: progress.from_index] + progress.events
        if len(events) < len(known):
            # An older batch that came late.
            return True
        old.progress = dataclasses.replace(
            progress, from_index=0, events=events
        )
        return True
