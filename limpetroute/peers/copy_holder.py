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

    __slots__ = ('_by_name', '_by_owner', '_count', '_open', '_taken')

    def __init__(self) -> None:
        self._by_owner: dict[str, dict[str, CopiedRecord]] = {}
        self._taken: dict[str, None] = {}
        # Every look-up of a key asks here, so none may search.
        self._by_name: dict[tuple[str, str], CopiedRecord] = {}
        self._open: dict[tuple[str, str], CopiedRecord] = {}
        self._count = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(copies={len(self)!r})'

    def __len__(self) -> int:
        return self._count

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
        """Return the runs of copies whose request has not ended."""
        return {
            str(copied.progress.runner.get('run_id', ''))
            for copied in self._open.values()
        }

    def take_over(self, owner: str) -> list[CopiedRecord]:
        """Give out an owner's copies; call it under the owner's lease."""
        self._taken[owner] = None
        found = list(self._by_owner.pop(owner, {}).values())
        for copied in found:
            self._remove(copied)
        return found

    def drop(self, owner: str) -> None:
        """Drop copies that another host has newer ones of."""
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
            # The key may name a newer request by now.
            if self._by_name.get(name) is copied:
                del self._by_name[name]
        self._open.pop((copied.owner, copied.facts.request_id), None)


def _names(copied: CopiedRecord) -> list[tuple[str, str]]:
    facts = copied.facts
    names = (facts.key, facts.request_id, facts.run_id)
    return [(facts.team, name) for name in names]
