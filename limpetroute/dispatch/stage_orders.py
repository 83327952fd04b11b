"""Orders runners to their stages, one at a time."""

import asyncio
import logging
import typing

from limpetroute.dispatch import order_dialect
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_split
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 1.0
# Nobody led, and so nobody gave orders, before a group's first term.
FIRST_TERM = 1
# A new leader gives no order for this long. The one before may have
# given its last just as it lost the group; engines that do not look at
# fencing numbers would take orders from both in turn.
QUIET_AFTER_ELECTION_S = 3.5
# An order that got no answer may be carried out seconds later. Only
# after this long without the stage that it asked for is it given again.
ORDER_LAPSES_S = 14.0
# Runners announce themselves one by one at the start; deciding on the
# first few would shift one that the rest make needless, and back again:
# away for twelve seconds. Heartbeats come every 1.2 s, and one that
# found nobody to take it is sent again only with the next: the last of
# four runners was heard of 2.7 s after the first.
SETTLE_S = 2.6
HTTP_ACCEPTED = 202


class StageOrders:
    """Orders runners to their stages, one at a time.

    Parameters
    ----------
    holder : str
        Name of this host in orders.
    dialect : OrderDialect
        Writes orders.
    http : Caller
        Calls runners.
    """

    def __init__(
        self,
        *,
        holder: str,
        dialect: order_dialect.OrderDialect,
        http: caller.Caller,
    ) -> None:
        self._holder = holder
        self._dialect = dialect
        self._http = http
        self._fence = 0
        self._quiet_until_s = 0.0
        self._ordered_s: dict[str, float] = {}
        self._accepted: set[str] = set()
        self._known: dict[str, frozenset[str]] = {}
        self._known_since_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(ordered={self._ordered_s!r})'

    def begin_term(self, term: int, now_s: float) -> None:
        """Begin to give orders, with the term as fencing number."""
        self._fence = term
        self._quiet_until_s = now_s
        if term > FIRST_TERM:
            self._quiet_until_s += QUIET_AFTER_ELECTION_S
        self._ordered_s.clear()
        self._accepted.clear()

    def changing(self) -> frozenset[str]:
        """Return the runners that are changing their stage now.

        They refuse what they are sent for the time of a change, and are
        announced as they were until it is over. Of an order that got no
        answer nothing is known; its runner is not counted.
        """
        return frozenset(self._accepted.intersection(self._ordered_s))

    def keep(
        self,
        service: service_module.Service,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        """Give the next order that a service's split of stages asks for."""
        assert service.engine is not None
        settled = self._is_settled(service.name, runners, now_s)
        if not settled or now_s < self._quiet_until_s:
            return
        away_s = service.engine.stage_change_s
        lapses_s = max(ORDER_LAPSES_S, 2 * away_s)
        for runner_id, at_s in list(self._ordered_s.items()):
            if now_s - at_s > lapses_s:
                del self._ordered_s[runner_id]
        changing = [
            one.runner_id
            for one in runners
            if one.runner_id in self._ordered_s
        ]
        change = stage_split.next_change(runners, changing=changing)
        if change is None:
            return
        target = next(
            one for one in runners if one.runner_id == change.runner_id
        )
        self._ordered_s[target.runner_id] = now_s
        self._accepted.discard(target.runner_id)
        task = asyncio.create_task(self._order(target, change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_settled(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> bool:
        known = frozenset(
            f'{one.runner_id} {one.ready} {one.stage}' for one in runners
        )
        before = self._known.get(service, frozenset())
        if known != before:
            changed = before ^ known
            for runner_id in list(self._ordered_s):
                if any(text.startswith(runner_id) for text in changed):
                    del self._ordered_s[runner_id]
            self._known[service] = known
            self._known_since_s[service] = now_s
        since_s = self._known_since_s.get(service, now_s)
        return now_s - since_s >= SETTLE_S

    async def _order(
        self,
        target: runner_info.RunnerInfo,
        change: stage_split.StageChange,
    ) -> None:
        order = self._dialect.stage_order(
            change.stage,
            runner_id=target.runner_id,
            holder=self._holder,
            fence=self._fence,
        )
        got = await self._http.call(
            method=order.method,
            url=f'http://{target.address}{order.path}',
            body=order.body,
            headers=order.headers,
            timeout_s=ORDER_TIMEOUT_S,
        )
        outcome = 'no answer'
        if not isinstance(got, call_failed.CallFailed):
            outcome = f'status {got.status}'
            if got.status == HTTP_ACCEPTED:
                self._accepted.add(target.runner_id)
        LOG.info(
            'ordered a stage',
            extra={
                'runner': target.runner_id,
                'from': target.stage,
                'to': change.stage,
                'fence': self._fence,
                'outcome': outcome,
            },
        )
