"""One entry host's part in granting room at all runners.

Pattern of load: several routers, each with reports half a second old,
send to the runner that looked free to all of them. Without one counter
for each runner they overfill it, and a prefill is thrown away with
each refusal. Each runner therefore has one host that grants its room.

The class is pure: messages and ``now_s`` come in, messages go out.
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
    """A message for another host, or for this one's own voter."""

    host_id: str
    message: lease_message.LeaseRequest | hand_over.HandOver


@dataclasses.dataclass(kw_only=True, slots=True)
class _Move:
    target_id: str
    since_s: float
    sent: bool = False


class GrantCoordinator:
    """Holds leases of runners and grants their room.

    Parameters
    ----------
    host_id, zone : str
        This host.
    voters : sequence of str
        Hosts that vote on leases, the same list on every host.
    leases : LeaseConfig
        Times of the leases.
    grants : GrantConfig
        Times of the grants.
    started_s : float
        When the process started.
    """

    __slots__ = (
        '_books',
        '_grants',
        '_handed',
        '_holder',
        '_hosts',
        '_id',
        '_moves',
        '_places',
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
        # Placing is a hash for each host: worked out once, not in each
        # tick for each of a zone's runners.
        self._places: dict[str, str | None] = {}
        self._reports: dict[str, runner_report.RunnerReport] = {}
        self._books: dict[str, grant_book.GrantBook] = {}
        self._handed: dict[str, hand_over.HandOver] = {}
        self._moves: dict[str, _Move] = {}
        self.leaving = False

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(host_id={self._id!r}, '
            f'books={len(self._books)!r})'
        )

    @property
    def leases(self) -> lease_holder.LeaseHolder:
        """All leases of this host; the desk uses those of runners."""
        return self._holder

    @property
    def books(self) -> tuple[grant_book.GrantBook, ...]:
        """Books of the runners held, settled or not."""
        return tuple(self._books.values())

    def reports(self) -> tuple[runner_report.RunnerReport, ...]:
        """Newest report of each runner known."""
        return tuple(self._reports.values())

    def set_hosts(self, hosts: typing.Mapping[str, str]) -> None:
        """Take the hosts that may hold leases, each with its zone."""
        if hosts == self._hosts:
            return
        self._hosts = dict(hosts)
        self._places.clear()

    def on_report(
        self, report: runner_report.RunnerReport, now_s: float
    ) -> None:
        """Take a decode runner's report."""
        old = self._reports.get(report.runner_id)
        if old is not None and report.order <= old.order:
            return
        if old is None or old.zone != report.zone:
            self._places.pop(report.runner_id, None)
        self._reports[report.runner_id] = report
        book = self._books.get(report.runner_id)
        if book is not None:
            book.on_report(report, now_s)

    def remove_runner(self, runner_id: str) -> None:
        """Forget a runner and give its lease back."""
        self._reports.pop(runner_id, None)
        self._places.pop(runner_id, None)
        self._drop_book(runner_id)

    def holder_of(self, runner_id: str, now_s: float) -> str:
        """Return the host to ask for room at a runner."""
        if self._holder.held(RUNNER + runner_id, now_s) is not None:
            return self._id
        promised = self.voter.holder(RUNNER + runner_id, now_s)
        if promised is not None and promised != self._id:
            return promised
        return self._placed(runner_id) or ''

    def holds(self, runner_id: str, now_s: float) -> bool:
        """Whether this host may act for a runner now."""
        return self._holder.held(RUNNER + runner_id, now_s) is not None

    def tick(self, now_s: float, *, fence_floor: int) -> list[GrantMessage]:
        """Do what is due; call it a few times in a second.

        Parameters
        ----------
        now_s : float
            Now.
        fence_floor : int
            Lowest fencing number for a new lease.
        """
        out: list[GrantMessage] = []
        for runner_id in list(self._reports):
            self._choose(runner_id, fence_floor)
        self._open_books(now_s)
        for runner_id in list(self._books):
            out += self._move(runner_id, now_s)
        for voter_id, ask in self._holder.tick(now_s):
            out.append(GrantMessage(host_id=voter_id, message=ask))
        return out

    def on_vote(self, vote: lease_message.LeaseVote, now_s: float) -> None:
        """Take a voter's answers."""
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
        """Grant room at a runner.

        Parameters
        ----------
        runner_id : str
            The runner.
        asked : Grant
            What is wanted.
        now_s : float
            Now.
        again : bool
            Whether an earlier holder granted it before.
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
        """Give room back; idempotent."""
        book = self._books.get(runner_id)
        if book is not None:
            book.release(work_id, now_s)

    def on_hand_over(self, message: hand_over.HandOver) -> None:
        """Keep a book for when this host gets the lease."""
        self._handed[message.runner_id] = message

    def on_hand_over_accepted(self, runner_id: str) -> None:
        """Give a lease back whose book the next holder has."""
        if runner_id not in self._moves:
            return
        move = self._moves.pop(runner_id)
        self._books.pop(runner_id, None)
        self._holder.unwant(RUNNER + runner_id, successor_id=move.target_id)

    # -- leases

    def _placed(self, runner_id: str) -> str | None:
        if runner_id in self._places:
            return self._places[runner_id]
        report = self._reports.get(runner_id)
        zone = report.zone if report is not None else ''
        near = [host for host, at in self._hosts.items() if at == zone]
        place = rendezvous.first(runner_id, near or self._hosts)
        if report is not None:
            self._places[runner_id] = place
        return place

    def _choose(self, runner_id: str, fence_floor: int) -> None:
        resource = RUNNER + runner_id
        if not self.leaving and self._placed(runner_id) == self._id:
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
        handed = self._handed.pop(runner_id, None)
        # Only the book of the holder just before is whole. With another
        # one between, the lease may have come early all the same, so
        # that holder's grants are waited out.
        whole = handed is not None and handed.fence == lease.previous_fence
        since_s = lease.since_s
        if handed is not None and not whole:
            since_s += self._grants.valid_s * (1 + 2 * self._grants.drift)
        book = grant_book.GrantBook(
            runner_id=runner_id,
            fence=lease.fence,
            since_s=since_s,
            config=self._grants,
        )
        if handed is not None and whole:
            book.take_over(handed.grants, now_s)
        report = self._reports.get(runner_id)
        if report is not None:
            book.on_report(report, now_s)
        return book

    # -- hand-over

    def _move(self, runner_id: str, now_s: float) -> list[GrantMessage]:
        target_id = self._target(runner_id)
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
            self._give_up_move(runner_id, move, now_s)
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

    def _target(self, runner_id: str) -> str | None:
        placed = self._placed(runner_id)
        if placed == self._id and not self.leaving:
            return None
        if placed == self._id:
            others = {
                host: zone
                for host, zone in self._hosts.items()
                if host != self._id
            }
            return rendezvous.first(runner_id, others)
        return placed

    def _give_up_move(self, runner_id: str, move: _Move, now_s: float) -> None:
        if now_s - move.since_s < self._grants.hand_over_s:
            return
        # Whether the other has the book is not known, so this host may
        # grant no more under the number it was sent with.
        self._drop_book(runner_id)

    def _drop_book(self, runner_id: str) -> None:
        """Stop granting for a runner.

        Grants that were given stay usable until the lease would have
        lapsed. Given back at once, the next holder could count without
        them, so only a lease without any is given back.
        """
        self._moves.pop(runner_id, None)
        book = self._books.pop(runner_id, None)
        if book is not None and book.grants:
            self._holder.relinquish(RUNNER + runner_id)
            return
        self._holder.unwant(RUNNER + runner_id)
