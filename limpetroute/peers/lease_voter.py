"""Votes on lease requests."""

import dataclasses

from limpetroute.peers import lease_config
from limpetroute.peers import lease_message

__all__ = ['LeaseVoter']


@dataclasses.dataclass(kw_only=True, slots=True)
class _Promise:
    holder_id: str
    fence: int
    until_s: float
    previous_fence: int


class LeaseVoter:
    """Promises each resource to one host at a time.

    A host that has promises from a majority of voters holds the lease.
    Promises are kept in memory only. After a start, the voter therefore
    promises nothing until all promises of its former process expired.

    Parameters
    ----------
    voter_id : str
        Id of this host.
    config : LeaseConfig
        Durations, the same on every host.
    started_s : float
        When the process started.
    """

    __slots__ = (
        '_config',
        '_successors',
        '_highest',
        '_promises',
        '_no_votes_until_s',
        '_id',
    )

    def __init__(
        self,
        *,
        voter_id: str,
        config: lease_config.LeaseConfig,
        started_s: float,
    ) -> None:
        self._id = voter_id
        self._config = config
        self._no_votes_until_s = started_s + config.duration_s
        self._promises: dict[str, _Promise] = {}
        self._highest: dict[str, int] = {}
        self._successors: dict[str, str] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(voter_id={self._id!r})'

    def holder(self, resource: str, now_s: float) -> str | None:
        """Return the host that has a promise for a resource now, or None."""
        promise = self._promises.get(resource)
        if promise is None or promise.until_s <= now_s:
            return None
        return promise.holder_id

    def vote(
        self, request: lease_message.LeaseRequest, now_s: float
    ) -> lease_message.LeaseVote:
        """Answer a lease request."""
        for item in request.releases:
            self._release(request.holder_id, item)
        answers = [
            self._answer(request.holder_id, item, now_s)
            for item in request.wants
        ]
        return lease_message.LeaseVote(
            number=request.number, voter_id=self._id, answers=tuple(answers)
        )

    def _release(
        self, holder_id: str, item: lease_message.LeaseRelease
    ) -> None:
        promise = self._promises.get(item.resource)
        if promise is None or promise.holder_id != holder_id:
            return
        if promise.fence != item.fence:
            return
        if item.successor_id:
            promise.holder_id = item.successor_id
            return
        del self._promises[item.resource]

    def _answer(
        self, holder_id: str, item: lease_message.LeaseWant, now_s: float
    ) -> lease_message.LeaseAnswer:
        highest = self._highest.get(item.resource, 0)
        successor = self._successors.get(item.resource, '')
        standing = self.holder(item.resource, now_s)
        granted = self._may_grant(holder_id, item, highest, standing, now_s)
        if granted:
            promise = self._promises.get(item.resource)
            if promise is not None and item.fence == highest:
                # The first answer may have been lost, so the answer to a
                # renewal repeats the fencing number of the former holder.
                highest = promise.previous_fence
            successor = max(
                successor, item.successor, key=lease_message.successor_order
            )
            self._successors[item.resource] = successor
            self._highest[item.resource] = item.fence
            self._promises[item.resource] = _Promise(
                holder_id=holder_id,
                fence=item.fence,
                until_s=now_s + self._config.duration_s,
                previous_fence=highest,
            )
            standing = holder_id
        return lease_message.LeaseAnswer(
            resource=item.resource,
            fence=item.fence,
            granted=granted,
            highest_fence=highest,
            holder_id=standing or '',
            successor=successor,
        )

    def _may_grant(
        self,
        holder_id: str,
        item: lease_message.LeaseWant,
        highest: int,
        standing: str | None,
        now_s: float,
    ) -> bool:
        if now_s < self._no_votes_until_s:
            return False
        if standing is not None and standing != holder_id:
            return False
        if item.fence > highest:
            return True
        # A renewal repeats its number. An old request of a former holder
        # that arrives late must not acquire the lease again.
        return standing == holder_id and item.fence == highest
