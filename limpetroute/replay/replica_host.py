"""A simulated control host: a replica and its disk."""

import dataclasses
import json
import random

from limpetroute import agreement
from limpetroute.agreement import events

TIMINGS = agreement.Timings()


class ReplicaHost:
    """Runs a replica that syncs at once and applies commands to a list.

    Parameters
    ----------
    host_id : str
        Identifier of the host.
    saved : SavedState
        Content of the host's disk.
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
        """Start the replica from the content of the disk."""
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
        """Stop the replica; the disk keeps its content."""
        self.replica = None

    def lose_disk(self) -> None:
        """Stop the replica, erase the disk and assign a new replica id."""
        self.stop()
        self.incarnation += 1
        self.replica_id = f'{self.host_id}.{self.incarnation}'
        self.saved = agreement.SavedState()

    def compact(self, now_s: float) -> list[agreement.Envelope]:
        """Replace the applied part of the log with a snapshot."""
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
        """Handle an event; return messages to send and the proposal result.

        The replica's writes are saved and confirmed at once.
        """
        assert self.replica is not None
        sends: list[agreement.Envelope] = []
        output = self.replica.step(event, now_s)
        proposal = output.proposal
        while True:
            sends.extend(output.sends)
            if output.restored is not None:
                self.applied = json.loads(output.restored.data)
            for entry in output.committed:
                if entry.kind is agreement.EntryKind.COMMAND:
                    self.applied.append(entry.data.decode())
            if output.write_id is None:
                return sends, proposal
            for write in output.writes:
                self._save(write)
            persisted = agreement.Persisted(write_id=output.write_id)
            output = self.replica.step(persisted, now_s)

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
            kept = tuple(entry for entry in old.entries if entry.index < first)
            self.saved = dataclasses.replace(old, entries=kept + write.entries)
            return
        last = write.snapshot.last_index
        newer = tuple(entry for entry in old.entries if entry.index > last)
        self.saved = dataclasses.replace(
            old,
            snapshot=write.snapshot,
            entries=newer if write.keeps_log else (),
        )
