"""The voting side of the leases."""

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

    A majority of promises is a lease. The voter has no disk: after a
    start it has forgotten what it promised, so it promises nothing
    until everything it may have promised has lapsed.

    Parameters
    ----------
    voter_id : str
        This host.
    config : LeaseConfig
        Times, the same on every host.
    started_s : float
        When the process started.
    """

    __slots__ = (
        '_config',
        '_successors',
        '_highest',
        '_promises',
        '_silent_until_s',
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
        self._silent_until_s = started_s + config.duration_s
        self._promises: dict[str, _Promise] = {}
        self._highest: dict[str, int] = {}
        self._successors: dict[str, str] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(voter_id={self._id!r})'

    def holder(self, resource: str, now_s: float) -> str | None:
        """Return whom the resource is promised to now."""
        promise = self._promises.get(resource)
        if promise is None or promise.until_s <= now_s:
            return None
        return promise.holder_id

    def vote(
        self, ask: lease_message.LeaseRequest, now_s: float
    ) -> lease_message.LeaseVote:
        """Answer an ask."""
        for item in ask.releases:
            self._release(ask.holder_id, item)
        answers = [
            self._answer(ask.holder_id, item, now_s) for item in ask.wants
        ]
        return lease_message.LeaseVote(
            number=ask.number, voter_id=self._id, answers=tuple(answers)
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
                # The first answer may be lost: a renewal says again who
                # was there before.
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
        if now_s < self._silent_until_s:
            return False
        if standing is not None and standing != holder_id:
            return False
        if item.fence > highest:
            return True
        # A renewal repeats its number; an old ask of a former holder
        # that arrives late does not get the resource back with it.
        return standing == holder_id and item.fence == highest
