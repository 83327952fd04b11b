"""One group's replica, with its state and its pending commits."""

import asyncio
import logging
import typing

from limpetroute.agreement import effects as effects_module
from limpetroute.agreement import entry as entry_module
from limpetroute.agreement import events
from limpetroute.agreement import messages
from limpetroute.agreement import replica as replica_module
from limpetroute.agreement import snapshot as snapshot_module
from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import journal as journal_module
from limpetroute.control import verdicts
from limpetroute.telemetry import boot_clock

LOG = logging.getLogger(__name__)

MAX_WAITING = 10_000
# A snapshot is taken after this many bytes of entries, however few they are.
COMPACT_AFTER_BYTES = 8 << 20


class _Waiting(typing.NamedTuple):
    term: int
    future: 'asyncio.Future[verdicts.Verdict]'


class Group:
    """One group's replica, with its state and its pending commits.

    Parameters
    ----------
    number : int
        Number of the group.
    replica : Replica
        The consensus algorithm, without I/O.
    make_state : callable
        Returns an empty state.
    write : callable
        Queues writes for the disk.
    send : callable
        Sends an envelope to another host; called with the group's number
        and the envelope.
    compact_after : int
        Number of entries after which a snapshot is taken.
    """

    def __init__(
        self,
        *,
        number: int,
        replica: replica_module.Replica,
        make_state: typing.Callable[[], control_state.ControlState],
        write: typing.Callable[[journal_module.GroupWrites], None],
        send: typing.Callable[[int, messages.Envelope], None],
        compact_after: int,
    ) -> None:
        self.number = number
        self.replica = replica
        self._make_state = make_state
        self._write = write
        self._send = send
        self._compact_after = compact_after
        self._proposals: list[
            tuple[bytes, asyncio.Future[verdicts.Verdict]]
        ] = []
        self._waiting: dict[int, _Waiting] = {}
        self._role = replica.role
        self._leader_id = replica.leader_id
        self.changed = asyncio.Event()
        self.commits = 0
        self._entry_bytes = 0
        self.state = make_state()
        self.state.load(replica.log.snapshot.data)

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(number={self.number!r}, '
            f'replica={self.replica!r})'
        )

    @property
    def leader_host(self) -> str:
        """Host of the leader, or empty if it is not known."""
        leader = self.replica.membership.get(self.replica.leader_id)
        return leader.host_id if leader else ''

    @property
    def now_s(self) -> float:
        """The replica's clock, in seconds."""
        return boot_clock.now_s()

    async def commit(
        self, command: commands.Command, timeout_s: float
    ) -> verdicts.Verdict:
        """Commit and apply a command.

        Returns the result of the command, or that it was not run, or that
        its outcome is unknown after ``timeout_s``.
        """
        if len(self._proposals) + len(self._waiting) >= MAX_WAITING:
            return verdicts.NotRun(reason='too many commands wait')
        future: asyncio.Future[verdicts.Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._proposals.append((commands.encode(command), future))
        if len(self._proposals) == 1:
            # All commands of one event loop iteration share one message and
            # one write.
            asyncio.get_running_loop().call_soon(self._propose)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(future)
        except TimeoutError:
            return verdicts.Unknown(reason='no quorum answered in time')

    def feed(self, event: events.Event) -> effects_module.Effects:
        """Pass an event to the replica and carry out the effects."""
        replica = self.replica
        effects = replica.step(event, self.now_s)
        if effects.write_id is not None:
            self._write(
                journal_module.GroupWrites(
                    group=self.number,
                    write_id=effects.write_id,
                    writes=effects.writes,
                )
            )
        for envelope in effects.sends:
            self._send(self.number, envelope)
        if effects.restored is not None:
            self._restore(effects.restored)
        if effects.committed:
            self._apply(effects.committed)
        if replica.role is not self._role:
            self._note_role()
        if replica.leader_id != self._leader_id:
            self._leader_id = replica.leader_id
            self._wake()
        return effects

    def _propose(self) -> None:
        proposals, self._proposals = self._proposals, []
        data = tuple(item[0] for item in proposals)
        effects = self.feed(events.Propose(commands=data))
        proposal = effects.proposal
        if not isinstance(proposal, effects_module.Appended):
            reason = proposal.reason if proposal else 'not taken'
            verdict = verdicts.NotRun(
                reason=reason, leader_host=self.leader_host
            )
            for _, future in proposals:
                _resolve(future, verdict)
            return
        for offset, (_, future) in enumerate(proposals):
            self._waiting[proposal.first_index + offset] = _Waiting(
                proposal.term, future
            )

    def _apply(self, entries: tuple[entry_module.Entry, ...]) -> None:
        for entry in entries:
            waiting = self._waiting.pop(entry.index, None)
            result = None
            self._entry_bytes += len(entry.data)
            if entry.kind is entry_module.EntryKind.COMMAND:
                command = commands.decode(entry.data)
                result = self.state.apply(command, entry.index)
                self.commits += 1
            if waiting is None:
                continue
            if waiting.term != entry.term or result is None:
                # Another leader's entry has this index, so the proposed one
                # was discarded.
                _resolve(
                    waiting.future,
                    verdicts.NotRun(
                        reason='the leader changed',
                        leader_host=self.leader_host,
                    ),
                )
                continue
            _resolve(waiting.future, verdicts.Committed(result=result))
        self._wake()
        self._compact_if_due()

    def _compact_if_due(self) -> None:
        """Take a snapshot once the log is long, in entries or bytes.

        With a limit on entries only, a few hundred large configurations
        would fill the disk and the memory of all control hosts at the same
        time, because all hold the same log.
        """
        replica = self.replica
        entry_count = replica.applied_index - replica.log.base_index
        if (
            entry_count < self._compact_after
            and self._entry_bytes < COMPACT_AFTER_BYTES
        ):
            return
        if replica.applied_index > replica.synced_index:
            # The replica does not accept a snapshot beyond its synced index,
            # for example while the disk hangs.
            return
        self._entry_bytes = 0
        self.feed(
            events.Compact(index=replica.applied_index, data=self.state.dump())
        )

    def _restore(self, snapshot: snapshot_module.Snapshot) -> None:
        self._entry_bytes = 0
        self.state = self._make_state()
        self.state.load(snapshot.data)
        for index in list(self._waiting):
            if index > snapshot.last_index:
                continue
            _resolve(
                self._waiting.pop(index).future,
                verdicts.Unknown(reason='the leader changed'),
            )
        LOG.info(
            'group %d: restored a snapshot at %d',
            self.number,
            snapshot.last_index,
        )
        self._wake()

    def _note_role(self) -> None:
        self._role = self.replica.role
        LOG.info(
            'group %d: %s in term %d%s',
            self.number,
            self._role.value,
            self.replica.term,
            f': {self.replica.failure}' if self.replica.failure else '',
        )
        if self._role is replica_module.Role.FAILED:
            for waiting in self._waiting.values():
                _resolve(
                    waiting.future,
                    verdicts.Unknown(reason=self.replica.failure),
                )
            self._waiting.clear()

    def _wake(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def _resolve(
    future: 'asyncio.Future[verdicts.Verdict]', verdict: verdicts.Verdict
) -> None:
    if not future.done():
        future.set_result(verdict)
