"""Coordinates the grants of one entry host at the runners it leases.

Several routers whose reports are half a second old all send to the
runner that looks free, and overfill it. Each refusal wastes a prefill.
Each runner therefore has one host, the holder of its lease, that grants
its capacity.

The class does no input or output: it takes messages and ``now_s`` and
returns the messages to send.
"""

import dataclasses
import typing

from limpetroute.peers import grant
from limpetroute.peers import grant_book
from limpetroute.peers import grant_config
from limpetroute.peers import hand_over
from limpetroute.peers import lease_config
from limpetroute.peers import lease_holder
from limpetroute.peers import lease_message
from limpetroute.peers import lease_voter
from limpetroute.peers import rendezvous
from limpetroute.peers import runner_report

__all__ = ['GrantMessage', 'GrantCoordinator']

RUNNER = 'runner:'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantMessage:
    """A message and its target: another host or this host's own voter."""

    host_id: str
    message: lease_message.LeaseRequest | hand_over.HandOver


@dataclasses.dataclass(kw_only=True, slots=True)
class _Move:
    target_id: str
    since_s: float
    sent: bool = False


class GrantCoordinator:
    """Holds leases of runners and grants their capacity.

    Parameters
    ----------
    host_id, zone : str
        Id and availability zone of this host.
    voters : sequence of str
        Hosts that vote on leases, the same list on every host.
    leases : LeaseConfig
        Durations of the leases.
    grants : GrantConfig
        Durations of the grants.
    started_s : float
        When the process started.
    """

    __slots__ = (
        '_assigned_hosts',
        '_books',
        '_grants',
        '_holder',
        '_hosts',
        '_id',
        '_moves',
        '_received_books',
        '_reports',
        '_zone',
        'leaving',
        'voter',
    )

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        voters: typing.Sequence[str],
        leases: lease_config.LeaseConfig,
        grants: grant_config.GrantConfig,
        started_s: float,
    ) -> None:
        self._id = host_id
        self._zone = zone
        self._grants = grants
        self._holder = lease_holder.LeaseHolder(
            holder_id=host_id, voters=voters, config=leases
        )
        self.voter = lease_voter.LeaseVoter(
            voter_id=host_id, config=leases, started_s=started_s
        )
        self._hosts: dict[str, str] = {host_id: zone}
        # Ranking hashes a runner's name with each host's. The result is
        # cached so that a tick does not hash for each runner of a zone.
        self._assigned_hosts: dict[str, str | None] = {}
        self._reports: dict[str, runner_report.RunnerReport] = {}
        self._books: dict[str, grant_book.GrantBook] = {}
        self._received_books: dict[str, hand_over.HandOver] = {}
        self._moves: dict[str, _Move] = {}
        self.leaving = False

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(host_id={self._id!r}, '
            f'books={len(self._books)!r})'
        )

    @property
    def leases(self) -> lease_holder.LeaseHolder:
        """All leases of this host, including those that are not of runners."""
        return self._holder

    @property
    def books(self) -> tuple[grant_book.GrantBook, ...]:
        """Books of all runners whose lease is held, settled or not."""
        return tuple(self._books.values())

    def reports(self) -> tuple[runner_report.RunnerReport, ...]:
        """Return the newest report of each known runner."""
        return tuple(self._reports.values())

    def set_hosts(self, hosts: typing.Mapping[str, str]) -> None:
        """Set the hosts that may hold leases, each with its zone."""
        if hosts == self._hosts:
            return
        self._hosts = dict(hosts)
        self._assigned_hosts.clear()

    def on_report(
        self, report: runner_report.RunnerReport, now_s: float
    ) -> None:
        """Store a decode runner's report, unless it is out of order."""
        old = self._reports.get(report.runner_id)
        if old is not None and report.order <= old.order:
            return
        if old is None or old.zone != report.zone:
            self._assigned_hosts.pop(report.runner_id, None)
        self._reports[report.runner_id] = report
        book = self._books.get(report.runner_id)
        if book is not None:
            book.on_report(report, now_s)

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner and give up its lease."""
        self._reports.pop(runner_id, None)
        self._assigned_hosts.pop(runner_id, None)
        self._drop_book(runner_id)

    def holder_of(self, runner_id: str, now_s: float) -> str:
        """Return the host that grants capacity at a runner, or ''."""
        if self._holder.held(RUNNER + runner_id, now_s) is not None:
            return self._id
        promised = self.voter.holder(RUNNER + runner_id, now_s)
        if promised is not None and promised != self._id:
            return promised
        return self._assigned_host(runner_id) or ''

    def holds(self, runner_id: str, now_s: float) -> bool:
        """Whether this host holds the lease of a runner now."""
        return self._holder.held(RUNNER + runner_id, now_s) is not None

    def tick(self, now_s: float, *, fence_floor: int) -> list[GrantMessage]:
        """Do the periodic work; call it several times per second.

        Parameters
        ----------
        now_s : float
            Now.
        fence_floor : int
            Lowest fencing number for a new lease.
        """
        out: list[GrantMessage] = []
        for runner_id in list(self._reports):
            self._update_wanted_lease(runner_id, fence_floor)
        self._open_books(now_s)
        for runner_id in list(self._books):
            out += self._move(runner_id, now_s)
        for voter_id, request in self._holder.tick(now_s):
            out.append(GrantMessage(host_id=voter_id, message=request))
        return out

    def on_vote(self, vote: lease_message.LeaseVote, now_s: float) -> None:
        """Apply a voter's answers."""
        self._holder.on_vote(vote, now_s)
        self._open_books(now_s)

    def acquire(
        self,
        runner_id: str,
        asked: grant.Grant,
        now_s: float,
        *,
        again: bool = False,
    ) -> grant.GrantAnswer:
        """Grant capacity at a runner.

        Parameters
        ----------
        runner_id : str
            The runner.
        asked : Grant
            The grant asked for.
        now_s : float
            Now.
        again : bool
            Whether an earlier holder has already granted it.
        """
        self._open_books(now_s)
        lease = self._holder.held(RUNNER + runner_id, now_s)
        book = self._books.get(runner_id)
        if lease is None or book is None:
            return grant.NotHolder(holder_id=self.holder_of(runner_id, now_s))
        if again:
            return book.reclaim(asked, now_s, lease_until_s=lease.until_s)
        return book.acquire(asked, now_s, lease_until_s=lease.until_s)

    def release(self, runner_id: str, work_id: str, now_s: float) -> None:
        """Release the capacity of a request; idempotent."""
        book = self._books.get(runner_id)
        if book is not None:
            book.release(work_id, now_s)

    def on_hand_over(self, message: hand_over.HandOver) -> None:
        """Store a book until this host acquires the runner's lease."""
        self._received_books[message.runner_id] = message

    def on_hand_over_accepted(self, runner_id: str) -> None:
        """Release a lease to the host that accepted its book."""
        if runner_id not in self._moves:
            return
        move = self._moves.pop(runner_id)
        self._books.pop(runner_id, None)
        self._holder.unwant(RUNNER + runner_id, successor_id=move.target_id)

    # -- leases

    def _assigned_host(self, runner_id: str) -> str | None:
        if runner_id in self._assigned_hosts:
            return self._assigned_hosts[runner_id]
        report = self._reports.get(runner_id)
        zone = report.zone if report is not None else ''
        same_zone = [host for host, at in self._hosts.items() if at == zone]
        host_id = rendezvous.first(runner_id, same_zone or self._hosts)
        if report is not None:
            self._assigned_hosts[runner_id] = host_id
        return host_id

    def _update_wanted_lease(self, runner_id: str, fence_floor: int) -> None:
        resource = RUNNER + runner_id
        if not self.leaving and self._assigned_host(runner_id) == self._id:
            self._holder.want(resource, fence_floor=fence_floor)
            return
        if runner_id not in self._books:
            self._holder.unwant(resource)

    def _open_books(self, now_s: float) -> None:
        for resource in self._holder.wanted:
            if not resource.startswith(RUNNER):
                continue
            runner_id = resource[len(RUNNER) :]
            lease = self._holder.held(resource, now_s)
            book = self._books.get(runner_id)
            if lease is None:
                if book is not None:
                    del self._books[runner_id]
                    self._moves.pop(runner_id, None)
                continue
            if book is None or book.fence != lease.fence:
                self._books[runner_id] = self._new_book(
                    runner_id, lease, now_s
                )

    def _new_book(
        self, runner_id: str, lease: lease_holder.LeaseHeld, now_s: float
    ) -> grant_book.GrantBook:
        received = self._received_books.pop(runner_id, None)
        # A book is complete only if it is that of the previous holder. If
        # another host held the lease in between, the lease may still have
        # come early, so that host's grants must expire first.
        complete = (
            received is not None and received.fence == lease.previous_fence
        )
        since_s = lease.since_s
        if received is not None and not complete:
            since_s += self._grants.valid_s * (1 + 2 * self._grants.drift)
        book = grant_book.GrantBook(
            runner_id=runner_id,
            fence=lease.fence,
            since_s=since_s,
            config=self._grants,
        )
        if received is not None and complete:
            book.take_over(received.grants, now_s)
        report = self._reports.get(runner_id)
        if report is not None:
            book.on_report(report, now_s)
        return book

    # -- hand-over

    def _move(self, runner_id: str, now_s: float) -> list[GrantMessage]:
        target_id = self._move_target(runner_id)
        move = self._moves.get(runner_id)
        book = self._books[runner_id]
        if target_id is None:
            self._moves.pop(runner_id, None)
            book.moving = False
            if self.leaving:
                self._drop_book(runner_id)
            return []
        if move is None or move.target_id != target_id:
            move = _Move(target_id=target_id, since_s=now_s)
            self._moves[runner_id] = move
            book.moving = False
        if move.sent:
            self._abandon_if_unanswered(runner_id, move, now_s)
            return []
        wait_s = 0.0 if self.leaving else self._grants.move_after_s
        if now_s - move.since_s < wait_s:
            return []
        move.sent = True
        move.since_s = now_s
        book.moving = True
        message = hand_over.HandOver(
            runner_id=runner_id,
            from_id=self._id,
            fence=book.fence,
            grants=book.grants,
        )
        return [GrantMessage(host_id=target_id, message=message)]

    def _move_target(self, runner_id: str) -> str | None:
        assigned_id = self._assigned_host(runner_id)
        if assigned_id == self._id and not self.leaving:
            return None
        if assigned_id == self._id:
            others = {
                host: zone
                for host, zone in self._hosts.items()
                if host != self._id
            }
            return rendezvous.first(runner_id, others)
        return assigned_id

    def _abandon_if_unanswered(
        self, runner_id: str, move: _Move, now_s: float
    ) -> None:
        if now_s - move.since_s < self._grants.hand_over_s:
            return
        # The target may have received the book, so this host must not
        # grant under the fencing number in it any more.
        self._drop_book(runner_id)

    def _drop_book(self, runner_id: str) -> None:
        """Stop granting at a runner.

        Existing grants stay usable until the lease expires. If the lease
        were released at once, the next holder would not count them, so
        only a lease without grants is released.
        """
        self._moves.pop(runner_id, None)
        book = self._books.pop(runner_id, None)
        if book is not None and book.grants:
            self._holder.relinquish(RUNNER + runner_id)
            return
        self._holder.unwant(RUNNER + runner_id)
