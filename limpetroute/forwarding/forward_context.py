"""What all forwarding on one host shares."""

import asyncio
import contextlib
import logging
import random
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import control_watch
from limpetroute.forwarding import crash_check
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import forward_meters
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import rate_limit_client
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import runner_call
from limpetroute.forwarding import scheduler_client
from limpetroute.routing import moving_mean
from limpetroute.routing import next_step
from limpetroute.routing import retry_budget
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_result
from limpetroute.routing import service as service_module
from limpetroute.routing import shutdown_admission
from limpetroute.routing import stage_rates

LOG = logging.getLogger(__name__)

# Result of a send that this host ended itself, in logs and counters.
CUT = 'cut'


class ForwardContext:
    """What all forwarding on one host shares.

    Parameters
    ----------
    view : FleetView
        Routes and runners.
    watch : ControlWatch
        Knows how many hosts there are.
    scheduler : SchedulerClient
        Gives streams their places.
    quarantine : QuarantineClient
        Knows the requests under which runners crash.
    limits : LimitClient
        Keeps to the limits that runners name.
    dialect : Dialect
        How callers and runners are spoken to.
    meters : ForwardMeters
        Counts.
    zone : str
        The own availability zone.
    make_budget : callable
        Makes a service's budget of second sends.
    rng : random.Random
        Breaks ties and draws services.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        watch: control_watch.ControlWatch,
        scheduler: scheduler_client.SchedulerClient,
        quarantine: quarantine_client.QuarantineClient,
        limits: rate_limit_client.RateLimitClient,
        dialect: dialect_module.Dialect,
        meters: forward_meters.ForwardMeters,
        zone: str,
        make_budget: typing.Callable[[], retry_budget.RetryBudget],
        rng: random.Random,
    ) -> None:
        self.view = view
        self.scheduler = scheduler
        self.quarantine = quarantine
        self.limits = limits
        self.dialect = dialect
        self.meters = meters
        self.zone = zone
        self.rng = rng
        # When a host that stops breaks off what is still open.
        self.shutdown_s: float | None = None
        self._speeds: dict[str, moving_mean.MovingMean] = {}
        self.accepts_calls = True
        self._watch = watch
        self._make_budget = make_budget
        self._aside: set[asyncio.Task[None]] = set()
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(view={self.view!r})'

    @property
    def entry_hosts(self) -> int:
        """Hosts that forward, this one among them, as far as known."""
        return self._watch.entry_hosts

    def accepts_stream(
        self,
        service: service_module.Service,
        generation: caller_request.Generation,
    ) -> bool:
        """Return whether a stream surely ends before this host does."""
        if self.shutdown_s is None:
            return True
        return shutdown_admission.ends_before_shutdown(
            max_tokens=generation.max_output_tokens,
            tokens_per_s=self._speed(service).mean,
            remaining_s=self.shutdown_s - _now_s(),
        )

    def note_speed(
        self, service: service_module.Service, tokens_per_s: float
    ) -> None:
        """Take note of how fast a stream was written."""
        self._speed(service).note(tokens_per_s)

    def remaining_s(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
    ) -> float:
        """Return the time left for an answer, at least 0."""
        whole_s = route.timeout_s
        if request.deadline_s is not None:
            whole_s = min(whole_s, request.deadline_s)
        spent_s = asyncio.get_running_loop().time() - request.received_s
        return max(0.0, whole_s - spent_s)

    def run_in_background(
        self, work: typing.Coroutine[None, None, None]
    ) -> None:
        """Run something that no caller waits for."""
        task = asyncio.create_task(work)
        self._aside.add(task)
        task.add_done_callback(self._aside.discard)

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._budget(service).note_request(_now_s())

    def take_retry(self, service: str) -> bool:
        """Take a second send out of a service's budget."""
        return self._budget(service).take(_now_s(), self.entry_hosts)

    def count(
        self,
        route: route_module.Route | None,
        status: int,
        request: caller_request.CallerRequest,
    ) -> None:
        """Count an answer and the time it took."""
        kind = route.kind.value if route else 'none'
        self.meters.answered(kind, status, _now_s() - request.received_s)

    def log_send(
        self,
        request: caller_request.CallerRequest,
        *,
        runner: runner_info.RunnerInfo,
        result: send_result.SendResult,
        step: next_step.Step,
        took_s: float,
        detail: str,
        part: str = 'run',
        **more: object,
    ) -> None:
        """Write what a send to a runner came to and what follows."""
        self.meters.sent(part, result.value)
        self._write_sent(
            request,
            runner,
            part=part,
            result=result.value,
            step=step.value,
            took_s=took_s,
            detail=detail,
            **more,
        )

    def note_rate_limit(self, call: runner_call.RunnerCall) -> None:
        """Take note of the limit that a runner's answer names."""
        if not call.status or self.dialect.is_misdirected(call.status):
            return
        self.limits.note_answer(
            call.runner, self.dialect.rate_limit_text(call.headers)
        )

    async def report_if_crashed(
        self,
        request: caller_request.CallerRequest,
        runner: runner_info.RunnerInfo,
        *,
        begun: bool,
    ) -> None:
        """Look whether a runner that broke off has crashed, and tell.

        Parameters
        ----------
        request : CallerRequest
            What was at the runner.
        runner : RunnerInfo
            The runner as it was known when the request was sent.
        begun : bool
            Whether a part of the answer came from it.
        """
        if not await crash_check.has_crashed(runner, self.view):
            return
        self.meters.crashed(begun)
        LOG.info(
            'runner crashed under a request',
            extra={
                'request': request.request_id,
                'fingerprint': request.fingerprint,
                'runner': runner.runner_id,
                'address': runner.address,
                'started_ms': runner.started_ms,
                'begun': begun,
                'index': self.view.index,
            },
        )
        self.quarantine.note_crash(request, runner, begun=begun)

    @contextlib.contextmanager
    def log_if_cut(
        self,
        request: caller_request.CallerRequest,
        runner: runner_info.RunnerInfo,
        *,
        part: str = 'run',
    ) -> typing.Iterator[None]:
        """Write a line where a send is cut short from this side.

        The route's timeout and a caller that leaves end the task that
        waits for a runner. Without a line of its own the log would not
        name the runner that a request waited for.
        """
        begun_s = _now_s()
        try:
            yield
        except (asyncio.CancelledError, responder_module.CallerGoneError):
            self.meters.sent(part, CUT)
            self._write_sent(
                request,
                runner,
                part=part,
                result=CUT,
                step='end',
                took_s=_now_s() - begun_s,
                detail='the time is over or the caller is gone',
            )
            raise

    def _write_sent(
        self,
        request: caller_request.CallerRequest,
        runner: runner_info.RunnerInfo,
        *,
        took_s: float,
        **fields: object,
    ) -> None:
        load = self.view.load(runner.runner_id)
        LOG.info(
            'sent',
            extra={
                'request': request.request_id,
                'runner': runner.runner_id,
                'address': runner.address,
                'took_ms': round(took_s * 1000),
                'own_requests': load.requests,
                'failures': load.failures,
                'index': self.view.index,
                **fields,
            },
        )

    def _speed(
        self, service: service_module.Service
    ) -> moving_mean.MovingMean:
        known = self._speeds.get(service.name)
        if known is None:
            assert service.engine is not None
            known = self._speeds[service.name] = moving_mean.MovingMean(
                stage_rates.default_decode_tokens_per_s(service.engine)
            )
        return known

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        known = self._budgets.get(service)
        if known is None:
            known = self._budgets[service] = self._make_budget()
        return known


def _now_s() -> float:
    return asyncio.get_running_loop().time()
