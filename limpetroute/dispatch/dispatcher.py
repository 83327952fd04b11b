"""Decides for all entry hosts while this control host leads."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.control import node as node_module
from limpetroute.dispatch import order_codec
from limpetroute.dispatch import service_runners
from limpetroute.dispatch import stage_orders
from limpetroute.routing import placement
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_scheduler
from limpetroute.telemetry import boot_clock
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# How often waiting streams are looked at when nothing else happens, and
# runners' stages compared with what is wanted.
LOOK_S = 0.05
# Entry hosts hear of a new leader within some hundred milliseconds and
# tell it what places they hold. Until then it gives none: it would fill
# runners that are full, and prompts would be read for nothing.
ADOPT_S = 0.5

Answer = placement.Placement | placement.Rejection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    ask: placement.PlacementRequest
    future: asyncio.Future[Answer | None]


class Dispatcher:
    """Decides for all entry hosts while this control host leads.

    What it knows of places is not in the log: it is worth some seconds
    only, and entry hosts tell a new leader what they hold.

    Parameters
    ----------
    node : Node
        This control host.
    codec : OrderCodec
        Reads routing configurations and writes orders.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        codec: order_codec.OrderCodec,
    ) -> None:
        self._node = node
        self._codec = codec
        self._orders = stage_orders.StageOrders(
            holder=node.settings.host_id,
            codec=codec,
            http=caller.Caller(),
        )
        self._limits = runner_limits.RunnerLimits()
        self._schedulers: dict[str, stream_scheduler.StreamScheduler] = {}
        self._pending: dict[str, _Pending] = {}
        self._passes: set[str] = set()
        self._services: dict[str, service_module.Service] = {}
        self._routes_index = 0
        self._service_runners = service_runners.ServiceRunners(
            on_restart=self._forget_runner
        )
        self._led_term = 0
        self._adopts_until_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(schedulers={self._schedulers!r})'

    def start(self) -> None:
        """Begin to decide whenever this host leads."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    @property
    def leads(self) -> bool:
        """Whether this host leads, and surely no other."""
        return self._node.config.replica.lease_valid(boot_clock.now_s())

    async def request_placement(
        self, ask: placement.PlacementRequest
    ) -> Answer | None:
        """Return a stream's place, or None if this host cannot decide."""
        if not self.leads:
            return None
        self._note_term()
        scheduler = self._scheduler(ask.service)
        if scheduler is None:
            return None
        future: asyncio.Future[Answer | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[ask.request_id] = _Pending(ask=ask, future=future)
        scheduler.submit(ask, boot_clock.now_s())
        self._request_pass(ask.service)
        try:
            return await future
        except asyncio.CancelledError:
            scheduler.cancel(ask.request_id)
            raise
        finally:
            self._pending.pop(ask.request_id, None)

    def cancel(self, service: str, request_id: str) -> None:
        """Forget a stream whose caller is gone."""
        scheduler = self._scheduler(service)
        if scheduler is not None:
            scheduler.cancel(request_id)

    def note_prefill_done(
        self, service: str, request_id: str, attempt: int
    ) -> None:
        """Take note that a prompt was read apart."""
        scheduler = self._scheduler(service)
        if scheduler is not None:
            scheduler.note_prefill_done(
                request_id, attempt, boot_clock.now_s()
            )
            self._request_pass(service)

    def note_first_event(
        self, service: str, request_id: str, attempt: int, took_s: float
    ) -> None:
        """Take note of the first event after a decode runner's own reading."""
        scheduler = self._scheduler(service)
        if scheduler is not None:
            now_s = boot_clock.now_s()
            scheduler.note_first_event(request_id, attempt, took_s, now_s)
            self._request_pass(service)

    def release(self, service: str, release: placement.Release) -> None:
        """Take a place back."""
        scheduler = self._scheduler(service)
        if scheduler is not None:
            scheduler.release(release, boot_clock.now_s())
            self._request_pass(service)

    def acquire_token(
        self, report: runner_limits.LimitReport, *, has_request: bool
    ) -> float | None:
        """Return when a host may send to a limited runner; None if now.

        Parameters
        ----------
        report : LimitReport
            What the runner named, as the host heard it.
        has_request : bool
            Whether the host has a request to send.
        """
        self._note_term()
        now_s = boot_clock.now_s()
        runner_id = report.incarnation.runner_id
        self._limits.note_limit(report, now_s)
        if not has_request:
            return None
        if self._limits.has_token(runner_id, now_s):
            self._limits.take(runner_id, now_s)
            return None
        return self._limits.retry_wait_s(runner_id, now_s)

    def restore(
        self, place: placement.Placement, ask: placement.PlacementRequest
    ) -> None:
        """Take note of a place that an earlier leader gave."""
        if not self.leads:
            return
        self._note_term()
        scheduler = self._scheduler(ask.service)
        if scheduler is not None:
            scheduler.restore(place, ask, boot_clock.now_s())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            if not self.leads:
                self._led_term = 0
                self._give_up_pending()
                continue
            await self._node.routes_splitter.split(self._node.config.state)
            self._note_term()
            for service, scheduler in self._schedulers.items():
                if scheduler.waiting:
                    self._request_pass(service)
            self._keep_stages()

    def _give_up_pending(self) -> None:
        """Tell those who wait that this host cannot decide any more.

        Their entry hosts look for the next leader; kept here, they would
        wait until their callers leave.
        """
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_result(None)

    def _note_term(self) -> None:
        term = self._node.config.replica.term
        if term == self._led_term:
            return
        # What was known in an earlier term is old; entry hosts tell
        # what they hold as soon as they hear of the new leader.
        self._led_term = term
        self._adopts_until_s = boot_clock.now_s() + ADOPT_S
        self._schedulers.clear()
        self._limits = runner_limits.RunnerLimits()
        self._orders.begin_term(term, boot_clock.now_s())
        LOG.info('dispatching', extra={'term': term})

    def _scheduler(
        self, service: str
    ) -> stream_scheduler.StreamScheduler | None:
        self._update_services()
        known = self._schedulers.get(service)
        if known is not None:
            return known
        found = self._services.get(service)
        if found is None or found.engine is None:
            return None
        scheduler = stream_scheduler.StreamScheduler(
            engine=found.engine, limits=self._limits
        )
        self._schedulers[service] = scheduler
        return scheduler

    def _update_services(self) -> None:
        """Take the services of the configuration in force.

        Those of the version before serve until it is cut into parts,
        which happens beside the event loop.
        """
        state = self._node.config.state
        if state.routes is None or state.routes_index == self._routes_index:
            return
        is_split = state.recent_routes.is_split(state.routes.digest)
        if self._services and not is_split:
            return
        copy = state.routes_copy()
        assert copy is not None
        found = self._codec.parse_services(copy.parts)
        self._services = {one.name: one for one in found}
        self._routes_index = state.routes_index

    def _runners(self, service: str) -> list[runner_info.RunnerInfo]:
        table = self._node.config.state.runners
        return self._service_runners.get(service, table)

    def _forget_runner(self, runner_id: str) -> None:
        """Forget what was known of a runner that has started again."""
        for scheduler in self._schedulers.values():
            scheduler.reset_runner(runner_id)

    def _request_pass(self, service: str) -> None:
        """Have a service's streams placed after what is at hand now.

        Events that come together are decided together, and heartbeats that
        came in are read before the next pass.
        """
        if service in self._passes:
            return
        self._passes.add(service)
        asyncio.get_running_loop().call_soon(self._run_pass, service)

    def _run_pass(self, service: str) -> None:
        self._passes.discard(service)
        scheduler = self._schedulers.get(service)
        if scheduler is None or not self.leads:
            return
        self._decide(service, scheduler)
        if scheduler.unfinished:
            self._request_pass(service)

    def _decide(
        self, service: str, scheduler: stream_scheduler.StreamScheduler
    ) -> None:
        if boot_clock.now_s() < self._adopts_until_s:
            return
        runners = self._runners(service)
        now_s = boot_clock.now_s()
        changing = self._orders.changing()
        for answer in scheduler.decide(runners, now_s, changing=changing):
            pending = self._pending.get(answer.request_id)
            LOG.info(
                'stream decided',
                extra={
                    'request': answer.request_id,
                    'outcome': type(answer).__name__,
                    **_detail(answer),
                    **(_inputs(pending.ask) if pending else {}),
                    'held': scheduler.reservation_count,
                    'waiting': scheduler.waiting,
                    'tokens_per_s': round(scheduler.tokens_per_s),
                    'term': self._led_term,
                },
            )
            if pending is not None and not pending.future.done():
                pending.future.set_result(answer)

    def _keep_stages(self) -> None:
        self._update_services()
        for service in self._services.values():
            if service.engine is None:
                continue
            runners = self._runners(service.name)
            now_s = boot_clock.now_s()
            scheduler = self._schedulers.get(service.name)
            gone_s = scheduler.gone_s(runners, now_s) if scheduler else {}
            rates = scheduler.rates if scheduler else None
            self._orders.reconcile(
                service, runners, now_s, gone_s=gone_s, rates=rates
            )


def _detail(answer: Answer) -> dict[str, typing.Any]:
    body = dataclasses.asdict(answer)
    del body['request_id']
    expected = body.pop('forecast', None)
    if expected is not None:
        body.update(
            queued_ms=round(expected['queued_s'] * 1000),
            expected_first_ms=round(expected['first_event_s'] * 1000),
            in_time=expected['in_time'],
            beside=expected['beside'],
            pause_beside_ms=round(expected['pause_s'] * 1000),
            read_tokens_per_s=round(expected['read_tokens_per_s']),
        )
    return body


def _inputs(ask: placement.PlacementRequest) -> dict[str, typing.Any]:
    """Return what of a stream decided, for the log.

    A caller that comes back has another request id, but the same prompt.
    """
    return {
        'prompt': ask.prompt_id,
        'prompt_tokens': ask.prompt_tokens,
        'expected_tokens': ask.output_tokens,
        'waited_ms': round(ask.waited_s * 1000),
        'patience_ms': round(ask.patience_s * 1000),
        'goes_on': ask.goes_on,
    }
