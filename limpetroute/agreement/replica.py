"""One replica of one group, as a pure state machine."""

import enum
import math
import random

from limpetroute.agreement import effects
from limpetroute.agreement import entry as entry_module
from limpetroute.agreement import events
from limpetroute.agreement import log as log_module
from limpetroute.agreement import membership as membership_module
from limpetroute.agreement import messages
from limpetroute.agreement import outbox
from limpetroute.agreement import replication
from limpetroute.agreement import saved_state
from limpetroute.agreement import snapshot as snapshot_module
from limpetroute.agreement import timings as timings_module
from limpetroute.agreement import write_queue

_NO_EFFECTS = effects.Effects()


class Role(enum.StrEnum):
    """Current role of a replica."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    FAILED = 'failed'


class Replica:
    """One replica of one group, as a pure state machine.

    It opens no socket and no file and reads no clock: `step` takes an
    event with the time and returns the writes, messages and entries to
    carry out, send and apply.

    Parameters
    ----------
    replica_id : str
        Identity of this replica's disk.
    timings : Timings
        Timings of the group.
    saved : SavedState
        State found on the disk.
    rng : random.Random
        Seeded generator for the election timeouts.
    now_s : float
        Time of a monotonic clock with any origin.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        timings: timings_module.Timings,
        saved: saved_state.SavedState,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.replica_id = replica_id
        self.timings = timings
        self.role = Role.FOLLOWER
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.log = log_module.Log(
            snapshot=saved.snapshot, entries=saved.entries
        )
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.leader_id = ''
        self.failure = ''
        self._rng = rng
        self._now_s = now_s
        # A restart loses the time of the leader's last message. If the
        # replica voted at once, it could help to elect another leader
        # while the first leader's lease is valid. So it acts as if it
        # had received a message at its start.
        self._last_leader_message_s = now_s
        self._election_due_s = 0.0
        self._heartbeat_due_s = 0.0
        self._leader_since_s = -math.inf
        self._votes: set[str] = set()
        self._replication = self._new_replication()
        self._write_queue = write_queue.WriteQueue(
            last_index=self.log.last_index
        )
        self._outbox = outbox.Outbox()
        self._writes: list[effects.Write] = []
        self._restored: snapshot_module.Snapshot | None = None
        self._proposal: effects.Appended | effects.Refused | None = None
        self._reset_election_timer()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(replica_id={self.replica_id!r}, '
            f'role={self.role.value!r}, term={self.term!r}, '
            f'commit_index={self.commit_index!r})'
        )

    @property
    def membership(self) -> membership_module.Membership:
        """Newest membership in this replica's log."""
        return self.log.membership

    @property
    def synced_index(self) -> int:
        """Index of the last entry that is on this replica's own disk."""
        return self._write_queue.synced_index

    def lease_valid(self, now_s: float) -> bool:
        """Return whether this replica leads with a valid lease.

        While its lease is valid, no other leader can be elected.
        """
        return self.lease_remaining_s(now_s) > 0

    def lease_remaining_s(self, now_s: float) -> float:
        """Return for how long the lease is still valid.

        It may be negative, if the lease has ended.
        """
        if self.role is not Role.LEADER:
            return -math.inf
        return self._quorum_round_s(now_s) + self.timings.lease_s - now_s

    def can_read(self, now_s: float) -> bool:
        """Return whether a read of the applied state is linearizable.

        True if this replica leads and has applied all acknowledged
        entries.
        """
        if not self.lease_valid(now_s):
            return False
        if self.log.term_at(self.commit_index) != self.term:
            return False
        return self.applied_index == self.commit_index

    def has_active_leader(self, now_s: float) -> bool:
        """Return whether the group has a leader that is active.

        True if this replica leads with a valid lease or received a
        leader's message within the election timeout.
        """
        if self.role is Role.LEADER:
            return self.lease_valid(now_s)
        if self.role is Role.FAILED or not self.leader_id:
            return False
        return now_s - self._last_leader_message_s < self.timings.election_s

    def match_index(self, replica_id: str) -> int | None:
        """Return the last entry on a member's disk, if this one leads."""
        if self.role is not Role.LEADER:
            return None
        if replica_id == self.replica_id:
            return self._write_queue.synced_index
        return self._replication.match_index(replica_id)

    def step(self, event: events.Event, now_s: float) -> effects.Effects:
        """Process one event and return its effects."""
        self._now_s = max(self._now_s, now_s)
        self._restored = None
        self._proposal = None
        if self.role is Role.FAILED:
            return effects.Effects(
                proposal=effects.Refused(reason=self.failure)
            )
        match event:
            case events.Tick():
                self._tick()
            case events.Received():
                self._receive(event.envelope)
            case events.Propose():
                self._propose(event.commands)
            case events.AddLearner():
                self._add_learner(event)
            case events.RemoveMember():
                self._remove_member(event.replica_id)
            case events.Persisted():
                self._persisted(event.write_id)
            case events.PersistFailed():
                self._fail(event.reason)
            case events.Compact():
                self._compact(event)
        return self._effects()

    # Time

    def _tick(self) -> None:
        if self.role is Role.LEADER:
            self._tick_leader()
            return
        if self._now_s < self._election_due_s:
            return
        self._reset_election_timer()
        if self.replica_id not in self.membership.voters:
            self.leader_id = ''
            return
        if self._uses_pre_vote():
            self._start_pre_vote()
            return
        self._start_election()

    def _tick_leader(self) -> None:
        quorum_s = self._quorum_round_s(self._now_s)
        last_contact_s = max(quorum_s, self._leader_since_s)
        if self._now_s - last_contact_s > self.timings.election_s:
            # Check-quorum: a leader that is partitioned from its quorum
            # would accept proposals that never commit. It steps down if
            # a quorum has answered no round for an election timeout.
            self._become_follower(self.term, leader_id='')
            return
        if self._now_s >= self._heartbeat_due_s:
            self._broadcast()
        self._promote_learners()

    def _reset_election_timer(self) -> None:
        wait_s = self.timings.election_s * (1 + self._rng.random())
        self._election_due_s = self._now_s + wait_s

    # Elections

    def _uses_pre_vote(self) -> bool:
        """Return whether a pre-vote precedes an election.

        Without pre-vote, a replica that was partitioned returns with a
        higher term and deposes a healthy leader. Each return of a host
        would stop commits for an election timeout.
        """
        return True

    def _start_pre_vote(self) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = ''
        self._votes = {self.replica_id}
        if self._has_won_votes():
            self._start_election()
            return
        self._send_to_voters(
            messages.PreVoteRequest(
                term=self.term + 1,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
            ),
            durable=False,
        )

    def _start_election(self) -> None:
        self.role = Role.CANDIDATE
        self.leader_id = ''
        self._set_vote(self.term + 1, self.replica_id)
        self._votes = {self.replica_id}
        if self._has_won_votes():
            self._become_leader()
            return
        self._send_to_voters(
            messages.VoteRequest(
                term=self.term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
            ),
            durable=True,
        )

    def _has_won_votes(self) -> bool:
        votes = self._votes.intersection(self.membership.voters)
        return len(votes) >= self.membership.quorum

    def _set_vote(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for
        self._write(effects.SaveVote(term=term, voted_for=voted_for))

    def _become_follower(self, term: int, *, leader_id: str) -> None:
        if term > self.term:
            # Held messages belong to the older term. They are dropped
            # instead of sent late, as if the network had lost them.
            self._outbox.drop()
            self._set_vote(term, '')
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._votes = set()

    def _new_replication(self) -> replication.Replication:
        return replication.Replication(
            replica_id=self.replica_id, term=self.term, timings=self.timings
        )

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._leader_since_s = self._now_s
        self._replication = self._new_replication()
        # Committing an entry of the current term commits all earlier
        # ones. An entry of an older term may still be replaced although
        # a quorum has it.
        self._append_own(entry_module.EntryKind.NOOP, b'')
        self._broadcast()

    # Messages

    def _receive(self, envelope: messages.Envelope) -> None:
        if envelope.to != self.replica_id:
            return
        message = envelope.message
        sender = envelope.sender
        match message:
            case messages.PreVoteRequest():
                self._on_pre_vote(sender, message)
            case messages.VoteRequest():
                self._on_vote(sender, message)
            case messages.AppendRequest() | messages.SnapshotRequest():
                self._on_leader_message(sender, message)
            case _:
                self._on_reply(sender, message)

    def _is_stale(self, term: int) -> bool:
        """Return whether a message is of an earlier term.

        A leader that was frozen or partitioned may go on sending in its
        old term after another leader was elected. Its entries must not
        replace acknowledged ones.
        """
        return term < self.term

    def _leader_is_alive(self) -> bool:
        if self.role is Role.LEADER:
            return True
        return (
            self._now_s - self._last_leader_message_s < self.timings.election_s
        )

    def _log_is_current(self, last_term: int, last_index: int) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own

    def _on_pre_vote(
        self, sender: str, message: messages.PreVoteRequest
    ) -> None:
        granted = (
            message.term > self.term
            and self._log_is_current(message.last_term, message.last_index)
            and not self._leader_is_alive()
        )
        term = message.term if granted else self.term
        self._send(sender, messages.PreVoteReply(term=term, granted=granted))

    def _on_vote(self, sender: str, message: messages.VoteRequest) -> None:
        if self._is_stale(message.term):
            self._send(
                sender, messages.VoteReply(term=self.term, granted=False)
            )
            return
        if self._leader_is_alive():
            # The leader's lease relies on voters ignoring vote requests
            # while the leader is active. This also holds in a term that the
            # replica has learned of in another way than by a vote request.
            return
        if message.term > self.term:
            self._become_follower(message.term, leader_id='')
        granted = self.voted_for in (
            '',
            sender,
        ) and self._log_is_current(message.last_term, message.last_index)
        if granted:
            self._reset_election_timer()
            if not self.voted_for:
                self._set_vote(self.term, sender)
        self._send(
            sender,
            messages.VoteReply(term=self.term, granted=granted),
            durable=True,
        )

    def _on_reply(self, sender: str, message: messages.Message) -> None:
        if isinstance(message, messages.PreVoteReply) and message.granted:
            pre = self.role is Role.PRE_CANDIDATE
            if pre and message.term == self.term + 1:
                self._votes.add(sender)
                if self._has_won_votes():
                    self._start_election()
            return
        if message.term > self.term:
            self._become_follower(message.term, leader_id='')
            return
        if self._is_stale(message.term):
            return
        if isinstance(message, messages.VoteReply):
            if self.role is Role.CANDIDATE and message.granted:
                self._votes.add(sender)
                if self._has_won_votes():
                    self._become_leader()
            return
        if isinstance(message, messages.AppendReply):
            self._on_append_reply(sender, message)

    def _on_leader_message(
        self,
        sender: str,
        message: messages.AppendRequest | messages.SnapshotRequest,
    ) -> None:
        if self._is_stale(message.term):
            self._send(
                sender,
                messages.AppendReply(
                    term=self.term,
                    ok=False,
                    match_index=0,
                    round_s=message.round_s,
                ),
            )
            return
        self._become_follower(max(message.term, self.term), leader_id=sender)
        self._last_leader_message_s = self._now_s
        self._reset_election_timer()
        if isinstance(message, messages.SnapshotRequest):
            self._take_snapshot(message.snapshot)
            ok, index = True, message.snapshot.last_index
        else:
            ok, index = self._take_entries(message)
        self._send(
            sender,
            messages.AppendReply(
                term=self.term,
                ok=ok,
                match_index=index,
                round_s=message.round_s,
            ),
            durable=True,
        )

    # A follower's log

    def _take_entries(
        self, message: messages.AppendRequest
    ) -> tuple[bool, int]:
        end = message.prev_index + len(message.entries)
        if end <= self.log.base_index:
            return True, end
        if message.prev_index >= self.log.base_index:
            term = self.log.term_at(message.prev_index)
            if term is None:
                return False, self.log.last_index
            if term != message.prev_term:
                return False, self.log.last_index_before_term(
                    message.prev_index, term, self.commit_index
                )
        fresh = self.log.first_new(message.entries)
        if fresh is not None:
            self._replace_from(message.entries[fresh:])
        if self.role is Role.FAILED:
            return False, 0
        self.commit_index = max(
            self.commit_index, min(message.commit_index, end)
        )
        return True, end

    def _replace_from(self, entries: tuple[entry_module.Entry, ...]) -> None:
        first = entries[0].index
        if first <= self.commit_index:
            self._fail(f'asked to replace the committed entry {first}')
            return
        if first <= self.log.last_index:
            self.log.truncate(first)
            self._write_queue.truncate(first)
        for entry in entries:
            self.log.append(entry)
        self._write(effects.SaveEntries(entries=entries))

    def _take_snapshot(self, snapshot: snapshot_module.Snapshot) -> None:
        if snapshot.last_index <= self.commit_index:
            return
        keeps = self.log.term_at(snapshot.last_index) == snapshot.last_term
        if not keeps:
            self._write_queue.truncate(self.log.base_index + 1)
            self.log = log_module.Log(snapshot=snapshot)
        else:
            self.log.compact(snapshot)
        self.commit_index = snapshot.last_index
        self.applied_index = snapshot.last_index
        self._restored = snapshot
        self._write(effects.SaveSnapshot(snapshot=snapshot, keeps_log=keeps))

    # A leader's log

    def _propose(self, commands: tuple[bytes, ...]) -> None:
        refusal = self._propose_refusal()
        if refusal:
            self._proposal = effects.Refused(reason=refusal)
            return
        first = self.log.last_index + 1
        for command in commands:
            self._append_own(entry_module.EntryKind.COMMAND, command)
        self._proposal = effects.Appended(first_index=first, term=self.term)
        self._broadcast()

    def _propose_refusal(self) -> str:
        if self.role is not Role.LEADER:
            return 'not the leader'
        if not self.lease_valid(self._now_s):
            return 'cut off from its quorum'
        return ''

    def _append_own(self, kind: entry_module.EntryKind, data: bytes) -> None:
        entry = entry_module.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
        )
        self.log.append(entry)
        self._write(effects.SaveEntries(entries=(entry,)))

    def _broadcast(self) -> None:
        self._heartbeat_due_s = self._now_s + self.timings.heartbeat_s
        for member in self.membership.members:
            if member.replica_id == self.replica_id:
                continue
            self._send_log(member.replica_id)

    def _send_log(self, to: str) -> None:
        self._send(
            to,
            self._replication.next_message(
                to,
                self.log,
                commit_index=self.commit_index,
                now_s=self._now_s,
            ),
        )

    def _on_append_reply(
        self, sender: str, message: messages.AppendReply
    ) -> None:
        if self.role is not Role.LEADER:
            return
        more = self._replication.handle_reply(sender, message, self.log)
        if message.ok:
            self._advance_commit()
        if more:
            self._send_log(sender)

    def _advance_commit(self) -> None:
        quorum_index = self._replication.quorum_index(
            self.membership, own_index=self._write_queue.synced_index
        )
        if quorum_index is None or quorum_index <= self.commit_index:
            return
        if self.log.term_at(quorum_index) != self.term:
            return
        self.commit_index = quorum_index
        # Followers are sent the commit index soon and not only with the
        # next regular heartbeat.
        soon_s = self._now_s + self.timings.heartbeat_s / 8
        self._heartbeat_due_s = min(self._heartbeat_due_s, soon_s)
        self._promote_learners()

    def _quorum_round_s(self, now_s: float) -> float:
        return self._replication.quorum_round_s(self.membership, now_s=now_s)

    # Membership

    def _add_learner(self, event: events.AddLearner) -> None:
        refusal = self._change_refusal()
        if not refusal and self.membership.get(event.replica_id):
            refusal = f'{event.replica_id!r} is a member already'
        if not refusal and self.membership.of_host(event.host_id):
            refusal = f'host {event.host_id!r} has a member already'
        if refusal:
            self._proposal = effects.Refused(reason=refusal)
            return
        self._change(
            self.membership.with_learner(event.replica_id, event.host_id)
        )

    def _remove_member(self, replica_id: str) -> None:
        refusal = self._change_refusal() or self._remove_refusal(replica_id)
        if refusal:
            self._proposal = effects.Refused(reason=refusal)
            return
        self._change(self.membership.without(replica_id))

    def _change_refusal(self) -> str:
        refusal = self._propose_refusal()
        if refusal:
            return refusal
        # Two uncommitted changes could give two quorums without a common
        # voter, each of which could elect a leader.
        if self.log.membership_index > self.commit_index:
            return 'an earlier membership change is not committed'
        # A committed entry of the current term ensures that no change
        # of an earlier leader, missing in this log, can still replace
        # this one.
        if self.log.term_at(self.commit_index) != self.term:
            return 'the leader is new'
        return ''

    def _remove_refusal(self, replica_id: str) -> str:
        member = self.membership.get(replica_id)
        if member is None:
            return f'{replica_id!r} is not a member'
        if replica_id == self.replica_id:
            return 'the leader does not remove itself'
        if not member.voter:
            return ''
        remaining = len(self.membership.voters) - 1
        if remaining < self.timings.min_voters:
            return f'{remaining} voters would be left'
        if self._answered_recently(replica_id):
            return f'{replica_id!r} still answers'
        return ''

    def _answered_recently(self, replica_id: str) -> bool:
        ago_s = self._now_s - self._replication.last_answered_s(replica_id)
        return ago_s <= self.timings.election_s

    def _change(self, membership: membership_module.Membership) -> None:
        self._append_own(entry_module.EntryKind.MEMBERS, membership.encode())
        self._proposal = effects.Appended(
            first_index=self.log.last_index, term=self.term
        )
        self._broadcast()

    def _promote_learners(self) -> None:
        if self._change_refusal():
            return
        for member in self.membership.members:
            if member.voter or not self.has_caught_up(member.replica_id):
                continue
            if self._has_max_voters():
                return
            proposal = self._proposal
            self._change(self.membership.with_voter(member.replica_id))
            self._proposal = proposal
            return

    def has_caught_up(self, replica_id: str) -> bool:
        """Return whether a learner has all committed entries on disk.

        If a learner were promoted earlier, the repair of a group of
        three that lost a host would look complete, but the next failure
        would stop all commits until the whole state is copied.
        """
        if not self._answered_recently(replica_id):
            return False
        return self._replication.match_index(replica_id) >= self.commit_index

    def _has_max_voters(self) -> bool:
        wanted = self.timings.max_voters
        return wanted is not None and len(self.membership.voters) >= wanted

    # Disk

    def _persisted(self, write_id: int) -> None:
        self._write_queue.mark_synced(write_id)
        self._outbox.release(write_id)
        if self.role is Role.LEADER:
            self._advance_commit()

    def _fail(self, reason: str) -> None:
        """Stop taking part in the group for good.

        After a failed write or sync the contents of the disk are
        unknown; a later sync may succeed without the lost pages. Held
        messages are dropped, so no unsynced write is acknowledged, and
        the other replicas elect a leader.
        """
        self.role = Role.FAILED
        self.failure = reason
        self.leader_id = ''
        self._outbox.drop()
        self._writes.clear()

    def _compact(self, event: events.Compact) -> None:
        if not self.log.base_index < event.index <= self.applied_index:
            return
        # While the disk stalls, the applied state may be ahead of the
        # synced log. A snapshot of it would leave a gap between the log
        # on disk and the snapshot after a restart.
        if event.index > self._write_queue.synced_index:
            return
        term = self.log.term_at(event.index)
        assert term is not None
        snapshot = snapshot_module.Snapshot(
            last_index=event.index,
            last_term=term,
            membership=self.log.membership_at(event.index),
            data=event.data,
        )
        self.log.compact(snapshot)
        self._write(effects.SaveSnapshot(snapshot=snapshot, keeps_log=True))

    # Effects

    def _write(self, write: effects.Write) -> None:
        if not self._writes:
            self._write_queue.issue()
        self._writes.append(write)

    def _send(
        self, to: str, message: messages.Message, *, durable: bool = False
    ) -> None:
        envelope = messages.Envelope(
            sender=self.replica_id, to=to, message=message
        )
        if durable and not self._is_synced():
            self._outbox.hold(self._write_queue.issued, envelope)
            return
        self._outbox.ready.append(envelope)

    def _is_synced(self) -> bool:
        return self._write_queue.synced >= self._write_queue.issued

    def _send_to_voters(
        self, message: messages.Message, *, durable: bool
    ) -> None:
        for voter in self.membership.voters:
            if voter != self.replica_id:
                self._send(voter, message, durable=durable)

    def _effects(self) -> effects.Effects:
        writes = tuple(self._writes)
        if writes:
            self._writes.clear()
            self._write_queue.record_log_end(self.log.last_index)
        sends = self._outbox.take()
        committed = self._take_committed()
        if not (writes or sends or committed or self._restored):
            if self._proposal is None:
                return _NO_EFFECTS
        return effects.Effects(
            write_id=self._write_queue.issued if writes else None,
            writes=writes,
            sends=sends,
            restored=self._restored,
            committed=committed,
            proposal=self._proposal,
        )

    def _take_committed(self) -> tuple[entry_module.Entry, ...]:
        # Entries on the disks of a majority are durable whether or not
        # they are on this disk, so a leader whose own disk stalls goes
        # on answering.
        end = self.commit_index
        if end <= self.applied_index:
            return ()
        entries = self.log.between(self.applied_index + 1, end)
        self.applied_index = end
        return entries
