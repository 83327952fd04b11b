"""One control host of a replayed group: a replica and its disk."""

import dataclasses
import json
import random

from limpetroute import agreement
from limpetroute.agreement import events

TIMINGS = agreement.Timings()


class ReplicaHost:
    """A replica that syncs at once and applies commands to a list.

    Parameters
    ----------
    host_id : str
        The host.
    saved : SavedState
        What its disk holds.
    """

    __slots__ = (
        'applied',
        'cut',
        'host_id',
        'incarnation',
        'replica',
        'replica_id',
        'saved',
    )

    def __init__(self, *, host_id: str, saved: agreement.SavedState) -> None:
        self.host_id = host_id
        self.incarnation = 0
        self.replica_id = f'{host_id}.0'
        self.saved = saved
        self.replica: agreement.Replica | None = None
        self.applied: list[str] = []
        self.cut = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host_id={self.host_id!r})'

    def start(self, rng: random.Random, now_s: float) -> None:
        """Start from what the disk holds."""
        data = self.saved.snapshot.data
        self.applied = json.loads(data) if data else []
        self.replica = agreement.Replica(
            replica_id=self.replica_id,
            timings=TIMINGS,
            saved=self.saved,
            rng=rng,
            now_s=now_s,
        )

    def stop(self) -> None:
        """End the process; the disk stays."""
        self.replica = None

    def lose_disk(self) -> None:
        """Lose the disk; the host comes back under a new identity."""
        self.stop()
        self.incarnation += 1
        self.replica_id = f'{self.host_id}.{self.incarnation}'
        self.saved = agreement.SavedState()

    def compact(self, now_s: float) -> list[agreement.Envelope]:
        """Put a snapshot in the place of the applied log."""
        if self.replica is None:
            return []
        event = agreement.Compact(
            index=self.replica.applied_index,
            data=json.dumps(self.applied).encode(),
        )
        return self.step(event, now_s)[0]

    def step(
        self, event: events.Event, now_s: float
    ) -> tuple[
        list[agreement.Envelope], agreement.Appended | agreement.Refused | None
    ]:
        """Take an event; return what is to be sent, and a verdict."""
        assert self.replica is not None
        sends: list[agreement.Envelope] = []
        got = self.replica.step(event, now_s)
        verdict = got.proposal
        while True:
            sends.extend(got.sends)
            if got.restored is not None:
                self.applied = json.loads(got.restored.data)
            for entry in got.committed:
                if entry.kind is agreement.EntryKind.COMMAND:
                    self.applied.append(entry.data.decode())
            if got.write_id is None:
                return sends, verdict
            for write in got.writes:
                self._save(write)
            synced = agreement.Persisted(write_id=got.write_id)
            got = self.replica.step(synced, now_s)

    def _save(
        self,
        write: agreement.SaveVote
        | agreement.SaveEntries
        | agreement.SaveSnapshot,
    ) -> None:
        old = self.saved
        if isinstance(write, agreement.SaveVote):
            self.saved = dataclasses.replace(
                old, term=write.term, voted_for=write.voted_for
            )
            return
        if isinstance(write, agreement.SaveEntries):
            first = write.entries[0].index
            kept = tuple(item for item in old.entries if item.index < first)
            self.saved = dataclasses.replace(old, entries=kept + write.entries)
            return
        last = write.snapshot.last_index
        rest = tuple(item for item in old.entries if item.index > last)
        self.saved = dataclasses.replace(
            old,
            snapshot=write.snapshot,
            entries=rest if write.keeps_log else (),
        )
