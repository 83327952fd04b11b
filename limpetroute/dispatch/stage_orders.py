"""Orders runners to their stages, a few at a time."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.dispatch import order_codec
from limpetroute.routing import pool_sizing
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
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
# Runners are added one by one; deciding on the first would shift one
# that the next makes needless. Heartbeats come every 1.2 s, so this is
# one of each. Runners that leave are not waited for: with the last
# reader gone, decode runners read prompts between their tokens.
SETTLE_S = 1.4
# At the start of a fleet they come within seconds of each other, and a
# heartbeat that found nobody to take it is sent again only with the next.
FOUNDING_S = 5.0
FOUNDING_SETTLE_S = 2.6
HTTP_ACCEPTED = 202


class StageOrders:
    """Orders runners to their stages, a few at a time.

    Parameters
    ----------
    holder : str
        Name of this host in orders.
    codec : OrderCodec
        Writes orders.
    http : Caller
        Calls runners.
    """

    def __init__(
        self,
        *,
        holder: str,
        codec: order_codec.OrderCodec,
        http: caller.Caller,
    ) -> None:
        self._holder = holder
        self._codec = codec
        self._http = http
        self._fence = 0
        self._quiet_until_s = 0.0
        self._ordered_s: dict[str, float] = {}
        self._accepted: set[str] = set()
        self._asked: set[str] = set()
        self._asking: set[str] = set()
        self._known: dict[str, dict[str, str]] = {}
        self._first_s: dict[str, float] = {}
        # Since when a change has been wanted, by service.
        self._wanted_s: dict[str, float] = {}
        self._changed_s: dict[str, float] = {}
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
        self._asked.clear()
        self._asking.clear()
        self._wanted_s.clear()

    def changing(self) -> frozenset[str]:
        """Return the runners that are changing their stage now.

        They refuse what they are sent for the time of a change, and are
        announced as they were until it is over. Of an order that got no
        answer nothing is known; its runner is not counted.
        """
        return frozenset(self._accepted.intersection(self._ordered_s))

    def reconcile(
        self,
        service: service_module.Service,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
        *,
        gone_s: typing.Mapping[str, float] | None = None,
        rates: stage_rates.StageRates | None = None,
    ) -> None:
        """Give the next order that a service's split of stages asks for.

        ``gone_s`` tells for how long runners have seemed gone, ``rates``
        what was measured of its streams.
        """
        assert service.engine is not None
        self._ask_once(service.name, runners, now_s)
        settled = self._is_settled(service.name, runners, now_s)
        if not settled or now_s < self._quiet_until_s:
            return
        if service.name in self._asking:
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
        gone_s = gone_s or {}
        change = pool_sizing.next_change(
            runners,
            engine=service.engine,
            changing=changing,
            rates=rates,
            gone_s=gone_s,
        )
        if change is None:
            self._wanted_s.pop(service.name, None)
            return
        wanted_s = self._wanted_s.setdefault(service.name, now_s)
        writers = pool_sizing.decode_runners_during_change(
            change, runners, gone_s=gone_s
        )
        if now_s - wanted_s < pool_sizing.change_delay_s(change, writers):
            return
        target = next(
            one for one in runners if one.runner_id == change.runner_id
        )
        self._wanted_s.pop(service.name, None)
        self._ordered_s[target.runner_id] = now_s
        self._accepted.discard(target.runner_id)
        self._run(self._order(target, change, rates))

    def _ask_once(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        """Ask runners, once a term, whether they change their stage.

        The leader before may have ordered one: it is away for up to ten
        seconds, as it ends its streams first. A leader that does not
        know orders another one, and two of three runners read prompts.
        """
        if self._fence <= FIRST_TERM or service in self._asked:
            return
        self._asked.add(service)
        self._asking.add(service)
        ready = [one for one in runners if one.ready]
        self._run(self._ask_all(service, ready, now_s))

    async def _ask_all(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        try:
            answers = await asyncio.gather(
                *(self._is_busy(one) for one in runners)
            )
        finally:
            self._asking.discard(service)
        for one, is_busy in zip(runners, answers, strict=True):
            if not is_busy:
                continue
            self._ordered_s[one.runner_id] = now_s
            self._accepted.add(one.runner_id)
            LOG.info(
                'changes its stage by an earlier order',
                extra={'runner': one.runner_id, 'fence': self._fence},
            )

    async def _is_busy(self, runner: runner_info.RunnerInfo) -> bool:
        question = self._codec.busy_request(runner.runner_id)
        got = await self._http.call(
            method=question.method,
            url=f'http://{runner.address}{question.path}',
            headers=question.headers,
            timeout_s=ORDER_TIMEOUT_S,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            LOG.info(
                'a runner does not say whether it changes its stage',
                extra={'runner': runner.runner_id, 'fence': self._fence},
            )
            return False
        try:
            return self._codec.parse_busy(got.body)
        except ValueError as exc:
            LOG.warning(
                'a report could not be read',
                extra={'runner': runner.runner_id, 'cause': str(exc)},
            )
            return False

    def _run(self, work: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_settled(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> bool:
        # An order that a runner's earlier life accepted died with it.
        known = {
            one.runner_id: f'{one.ready} {one.stage} {one.started_ms}'
            for one in runners
        }
        before = self._known.get(service, {})
        for runner_id in list(self._ordered_s):
            if before.get(runner_id) != known.get(runner_id):
                del self._ordered_s[runner_id]
        here = {one.runner_id for one in runners if one.ready}
        if any(before.get(one) != known[one] for one in here):
            self._changed_s[service] = now_s
        if service not in self._known:
            self._first_s[service] = now_s
        self._known[service] = known
        wait_s = SETTLE_S
        changed_s = self._changed_s.get(service, now_s)
        if changed_s - self._first_s[service] < FOUNDING_S:
            wait_s = FOUNDING_SETTLE_S
        return now_s - changed_s >= wait_s

    async def _order(
        self,
        target: runner_info.RunnerInfo,
        change: pool_sizing.StageChange,
        rates: stage_rates.StageRates | None,
    ) -> None:
        order = self._codec.stage_order(
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
                'rates': _rounded(rates),
            },
        )


def _rounded(rates: stage_rates.StageRates | None) -> dict[str, int]:
    """Return what a split was decided by, for the log."""
    if rates is None:
        return {}
    return {
        name: round(value) for name, value in dataclasses.asdict(rates).items()
    }
