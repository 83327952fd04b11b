"""Log replication from a leader to the other members."""

import math

from limpetroute.agreement import entry
from limpetroute.agreement import log as log_module
from limpetroute.agreement import membership as membership_module
from limpetroute.agreement import messages
from limpetroute.agreement import progress as progress_module
from limpetroute.agreement import timings as timings_module


class Replication:
    """Tracks the members' logs and chooses the messages to send them.

    Parameters
    ----------
    replica_id : str
        The leader's own identity.
    term : int
        Its term.
    timings : Timings
        Timings of the group.
    """

    __slots__ = ('_progress', '_replica_id', '_term', '_timings')

    def __init__(
        self, *, replica_id: str, term: int, timings: timings_module.Timings
    ) -> None:
        self._replica_id = replica_id
        self._term = term
        self._timings = timings
        self._progress: dict[str, progress_module.Progress] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(term={self._term!r})'

    def next_message(
        self,
        to: str,
        log: log_module.Log,
        *,
        commit_index: int,
        now_s: float,
    ) -> messages.AppendRequest | messages.SnapshotRequest:
        """Return the next message to a member."""
        progress = self._progress.get(to)
        if progress is None:
            progress = progress_module.Progress(next_index=log.last_index)
            self._progress[to] = progress
        if progress.next_index <= log.base_index:
            waited_s = now_s - progress.snapshot_sent_s
            if waited_s >= self._timings.snapshot_timeout_s:
                progress.snapshot_sent_s = now_s
                return messages.SnapshotRequest(
                    term=self._term, snapshot=log.snapshot, round_s=now_s
                )
            # Until the snapshot is answered, an empty message keeps the
            # replica from starting an election. The replica replies
            # that its log does not match.
            first = log.last_index + 1
        else:
            first = progress.next_index
        last = first + self._timings.max_append_entries - 1
        entries = self._bounded(log.between(first, min(log.last_index, last)))
        if entries:
            progress.next_index += len(entries)
        prev_term = log.term_at(first - 1)
        assert prev_term is not None
        return messages.AppendRequest(
            term=self._term,
            prev_index=first - 1,
            prev_term=prev_term,
            entries=entries,
            commit_index=commit_index,
            round_s=now_s,
        )

    def _bounded(
        self, entries: tuple[entry.Entry, ...]
    ) -> tuple[entry.Entry, ...]:
        """Return the first entries, as many as fit into one message.

        A message with all missing entries could take longer to send
        than the link's timeout. It would be sent again from the same
        index each time, and the member would never catch up.
        """
        size = 0
        for position, item in enumerate(entries):
            size += len(item.data)
            if position and size > self._timings.max_append_bytes:
                return entries[:position]
        return entries

    def handle_reply(
        self, sender: str, reply: messages.AppendReply, log: log_module.Log
    ) -> bool:
        """Process a member's reply.

        Returns
        -------
        bool
            Whether to send the member more entries at once.
        """
        progress = self._progress.get(sender)
        if progress is None:
            return False
        progress.acked_round_s = max(progress.acked_round_s, reply.round_s)
        if not reply.ok:
            back = min(progress.next_index, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, back)
            return progress.next_index > log.base_index
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        return progress.next_index <= log.last_index

    def match_index(self, replica_id: str) -> int:
        """Return the index of the last entry that a member has on disk."""
        progress = self._progress.get(replica_id)
        return 0 if progress is None else progress.match_index

    def last_answered_s(self, replica_id: str) -> float:
        """Return the send time of the newest message it has answered."""
        progress = self._progress.get(replica_id)
        return -math.inf if progress is None else progress.acked_round_s

    def quorum_index(
        self, membership: membership_module.Membership, *, own_index: int
    ) -> int | None:
        """Return the index of the last entry that a quorum has on disk."""
        return membership.quorum_value(
            lambda voter: (
                own_index
                if voter == self._replica_id
                else self.match_index(voter)
            )
        )

    def quorum_round_s(
        self, membership: membership_module.Membership, *, now_s: float
    ) -> float:
        """Return the send time of the newest round a quorum answered."""
        round_s = membership.quorum_value(
            lambda voter: (
                now_s
                if voter == self._replica_id
                else self.last_answered_s(voter)
            )
        )
        return -math.inf if round_s is None else round_s
