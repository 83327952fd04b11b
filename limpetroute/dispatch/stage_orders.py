"""Orders runners to change stage, a few at a time."""

import asyncio
import dataclasses
import logging
import math
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.dispatch import order_codec
from limpetroute.routing import pool_sizing
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.telemetry import boot_clock
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import delivery_bound

LOG = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 1.0
# Time within which an order that was written reaches its runner, or is lost.
# A lost packet is sent again once, after 0.2 s in most cases.
ORDER_DELIVERY_S = 0.3
# A runner may carry out an order seconds after the order timed out. The
# order is repeated only if the runner has not changed after this time.
ORDER_EXPIRES_S = 14.0
# Orders wait until no runner has been added or changed for this long.
# Runners are added one after another, and an order given after the first
# may be unnecessary after the next. Heartbeats are sent every 1.2 s, so
# each runner sends a heartbeat in this time. Runners that leave cause no wait:
# without prefill runners, decode runners prefill between their tokens.
SETTLE_S = 1.4
# A longer wait while a fleet starts: its runners start within seconds of
# each other, and a runner whose heartbeat is lost repeats it only after a
# heartbeat period.
FLEET_START_S = 5.0
FLEET_START_SETTLE_S = 2.6
HTTP_ACCEPTED = 202
# Longest reply of a runner to an order or a query. A faulty runner may send
# without end.
MAX_REPLY_BYTES = 1 << 20
# A host that no longer leads at all has no end of its lease to name.
LOGGED_LEASE_S = 60.0


def handover_s(*, gap_s: float, clock_drift: float) -> float:
    """Return the time for which a new leader gives no order.

    The previous leader may have written an order at the end of its lease,
    that is at the new leader's election at the latest. The order reaches its
    runner within `ORDER_DELIVERY_S`, and the gap begins there.

    Parameters
    ----------
    gap_s : float
        Least time between orders of two leaders.
    clock_drift : float
        Greatest relative error of a clock's rate.
    """
    return (gap_s + ORDER_DELIVERY_S) / (1 - clock_drift)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Decision:
    """An order to be sent, with the fencing number at its decision."""

    target: runner_info.RunnerInfo
    change: pool_sizing.StageChange
    fence: int
    at_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Written:
    """When an order was to be written, and what was left of the lease."""

    at_s: float | None = None
    lease_remaining_s: float = -math.inf

    def describe(self, decided_s: float) -> dict[str, int]:
        """Return log fields; none if there was no connection."""
        if self.at_s is None:
            return {}
        return {
            'written_after_ms': round((self.at_s - decided_s) * 1000),
            'took_ms': round((boot_clock.now_s() - self.at_s) * 1000),
            'lease_remaining_ms': round(
                max(-LOGGED_LEASE_S, self.lease_remaining_s) * 1000
            ),
        }


class StageOrders:
    """Orders runners to change stage, a few at a time.

    Parameters
    ----------
    holder : str
        Name of this host in orders.
    codec : OrderCodec
        Encodes orders.
    http : Caller
        Calls runners.
    lease_remaining_s : callable
        Returns for how long this host still leads in a term; not positive if
        it does not.
    handover_s : float
        Time for which a new leader gives no order; see `handover_s`.
    """

    def __init__(
        self,
        *,
        holder: str,
        codec: order_codec.OrderCodec,
        http: caller.Caller,
        lease_remaining_s: typing.Callable[[int], float],
        handover_s: float,
    ) -> None:
        self._handover_s = handover_s
        self._lease_remaining_s = lease_remaining_s
        self._holder = holder
        self._codec = codec
        self._http = http
        self._fence = 0
        self._quiet_until_s = 0.0
        self._ordered_s: dict[str, float] = {}
        self._accepted: set[str] = set()
        self._queried: set[str] = set()
        self._querying: set[str] = set()
        self._states: dict[str, dict[str, str]] = {}
        self._first_s: dict[str, float] = {}
        # Time since which a change has been wanted, by service.
        self._wanted_s: dict[str, float] = {}
        self._changed_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(ordered={self._ordered_s!r})'

    def begin_term(self, term: int, now_s: float) -> None:
        """Start giving orders, with the term as fencing number."""
        self._fence = term
        self._quiet_until_s = now_s + self._handover_s
        self._ordered_s.clear()
        self._accepted.clear()
        self._queried.clear()
        self._querying.clear()
        self._wanted_s.clear()

    def changing(self) -> frozenset[str]:
        """Return the runners that are changing stage now.

        A runner refuses requests during a change and announces its old
        stage until the change is complete. A runner whose order got no
        response is left out, because its state is unknown.
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
        streams: int = 0,
        is_shared: bool = False,
        factors: typing.Mapping[str, pool_sizing.RunnerFactors] | None = None,
    ) -> None:
        """Give the next order towards a service's wanted split of stages.

        Parameters
        ----------
        service : Service
            The service.
        runners : sequence of RunnerInfo
            All its runners.
        now_s : float
            A monotonic clock.
        gone_s : mapping of str to float, optional
            For how long runners have been unresponsive, by identity.
        rates : StageRates, optional
            Measured rates of the service's streams.
        streams : int
            Streams that run or wait.
        is_shared : bool
            See `SchedulingTerms`.
        factors : mapping of str to RunnerFactors, optional
            Speed of each runner, by identity.
        """
        assert service.engine is not None
        self._query_once(service.name, runners, now_s)
        settled = self._is_settled(service.name, runners, now_s)
        if not settled or service.name in self._querying:
            return
        change_s = service.engine.stage_change_s
        expires_s = max(ORDER_EXPIRES_S, 2 * change_s)
        for runner_id, at_s in list(self._ordered_s.items()):
            if now_s - at_s > expires_s:
                del self._ordered_s[runner_id]
        changing = [
            runner.runner_id
            for runner in runners
            if runner.runner_id in self._ordered_s
        ]
        gone_s = gone_s or {}
        change = pool_sizing.next_change(
            runners,
            engine=service.engine,
            changing=changing,
            rates=rates,
            gone_s=gone_s,
            min_gain=pool_sizing.min_gain(len(runners), is_shared=is_shared),
            factors=factors,
        )
        if change is None:
            self._wanted_s.pop(service.name, None)
            return
        decode_runners = pool_sizing.decode_runners_during_change(
            change, runners, gone_s=gone_s
        )
        if not pool_sizing.leaves_enough_slots(
            change,
            decode_runners,
            streams=streams,
            engine=service.engine,
            rates=rates,
        ):
            self._wanted_s.pop(service.name, None)
            return
        wanted_s = self._wanted_s.setdefault(service.name, now_s)
        if now_s - wanted_s < pool_sizing.change_delay_s(
            change, decode_runners
        ):
            return
        if now_s < self._quiet_until_s:
            return
        target = next(
            runner
            for runner in runners
            if runner.runner_id == change.runner_id
        )
        self._wanted_s.pop(service.name, None)
        self._ordered_s[target.runner_id] = now_s
        self._accepted.discard(target.runner_id)
        decision = _Decision(
            target=target, change=change, fence=self._fence, at_s=now_s
        )
        self._run(self._order(decision, rates))

    def _query_once(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        """Query all runners, once a term, whether they are changing stage.

        The previous leader may have ordered a change, which takes up to ten
        seconds because a runner ends its streams first. Without the query,
        a new leader orders a second runner to change, and two of three
        runners become prefill runners.
        """
        if service in self._queried:
            return
        self._queried.add(service)
        self._querying.add(service)
        ready = [runner for runner in runners if runner.ready]
        self._run(self._query_all(service, ready, now_s))

    async def _query_all(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        try:
            replies = await asyncio.gather(
                *(self._is_busy(runner) for runner in runners)
            )
        finally:
            self._querying.discard(service)
        for runner, is_busy in zip(runners, replies, strict=True):
            if not is_busy:
                continue
            self._ordered_s[runner.runner_id] = now_s
            self._accepted.add(runner.runner_id)
            LOG.info(
                'runner is changing stage by an earlier order',
                extra={'runner': runner.runner_id, 'fence': self._fence},
            )

    async def _is_busy(self, runner: runner_info.RunnerInfo) -> bool:
        request = self._codec.busy_request(runner.runner_id)
        got = await self._http.call(
            method=request.method,
            url=f'http://{runner.address}{request.path}',
            headers=request.headers,
            timeout_s=ORDER_TIMEOUT_S,
            max_reply_bytes=MAX_REPLY_BYTES,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            LOG.info(
                'no reply from a runner to the stage change query',
                extra={'runner': runner.runner_id, 'fence': self._fence},
            )
            return False
        try:
            return self._codec.parse_busy(got.body)
        except ValueError as exc:
            LOG.warning(
                'invalid reply from a runner to the stage change query',
                extra={'runner': runner.runner_id, 'cause': str(exc)},
            )
            return False

    def _run(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_settled(
        self,
        service: str,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
    ) -> bool:
        # The start time is part of the state, because a runner that restarts
        # no longer carries out the order that it accepted before.
        states = {
            runner.runner_id: (
                f'{runner.ready} {runner.stage} {runner.started_ms}'
            )
            for runner in runners
        }
        before = self._states.get(service, {})
        for runner_id in list(self._ordered_s):
            if before.get(runner_id) != states.get(runner_id):
                del self._ordered_s[runner_id]
        ready = {runner.runner_id for runner in runners if runner.ready}
        if any(before.get(name) != states[name] for name in ready):
            self._changed_s[service] = now_s
        if service not in self._states:
            self._first_s[service] = now_s
        self._states[service] = states
        wait_s = SETTLE_S
        changed_s = self._changed_s.get(service, now_s)
        if changed_s - self._first_s[service] < FLEET_START_S:
            wait_s = FLEET_START_SETTLE_S
        elif not any(
            runner.ready and runner.stage is stage_module.Stage.DECODE
            for runner in runners
        ):
            # Nothing is decoded until a runner changes its stage.
            return True
        return now_s - changed_s >= wait_s

    async def _order(
        self,
        decision: _Decision,
        rates: stage_rates.StageRates | None,
    ) -> None:
        target, fence = decision.target, decision.fence
        order = self._codec.stage_order(
            decision.change.stage,
            runner_id=target.runner_id,
            holder=self._holder,
            fence=fence,
        )
        written = _Written()

        def may_write() -> bool:
            written.at_s = boot_clock.now_s()
            written.lease_remaining_s = self._lease_remaining_s(fence)
            return written.lease_remaining_s > 0

        got = await self._http.call(
            method=order.method,
            url=f'http://{target.address}{order.path}',
            body=order.body,
            headers=order.headers,
            timeout_s=ORDER_TIMEOUT_S,
            max_reply_bytes=MAX_REPLY_BYTES,
            delivery=delivery_bound.DeliveryBound(
                may_write=may_write, unacknowledged_s=ORDER_DELIVERY_S
            ),
        )
        outcome = 'no answer'
        if isinstance(got, call_failed.CallFailed):
            if not got.sent:
                outcome = f'not sent: {got.kind}'
            if got.kind is call_failed.FailureKind.ABANDONED:
                self._forget_order(decision)
        else:
            outcome = f'status {got.status}'
            if got.status == HTTP_ACCEPTED:
                self._accepted.add(target.runner_id)
        LOG.info(
            'ordered a stage',
            extra={
                'runner': target.runner_id,
                'from': target.stage,
                'to': decision.change.stage,
                'fence': fence,
                'outcome': outcome,
                'rates': _rounded(rates),
                **written.describe(decision.at_s),
            },
        )

    def _forget_order(self, decision: _Decision) -> None:
        """Forget an order that was not sent, unless another one followed."""
        runner_id = decision.target.runner_id
        if self._ordered_s.get(runner_id) == decision.at_s:
            del self._ordered_s[runner_id]


def _rounded(rates: stage_rates.StageRates | None) -> dict[str, int]:
    """Return the rates that a split was decided by, rounded for the log."""
    if rates is None:
        return {}
    return {
        name: round(value) for name, value in dataclasses.asdict(rates).items()
    }
