"""State that all requests of a forwarder share."""

import asyncio
import contextlib
import logging
import math
import random
import typing

from limpetroute.border import forwarder_settings
from limpetroute.forwarding import balancing_state
from limpetroute.forwarding import caller_request
from limpetroute.forwarding import control_watch
from limpetroute.forwarding import crash_check
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import forward_meters
from limpetroute.forwarding import peer_client
from limpetroute.forwarding import plain_slot_client
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import quota_client
from limpetroute.forwarding import rate_limit_client
from limpetroute.forwarding import responder as responder_module
from limpetroute.forwarding import response_monitor
from limpetroute.forwarding import runner_call
from limpetroute.forwarding import runner_connections
from limpetroute.forwarding import runner_links
from limpetroute.forwarding import scheduler_client
from limpetroute.forwarding import stream_memory
from limpetroute.forwarding import team_gate
from limpetroute.routing import moving_mean
from limpetroute.routing import next_step
from limpetroute.routing import retry_budget
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import send_result
from limpetroute.routing import service as service_module
from limpetroute.routing import shutdown_admission
from limpetroute.routing import stage_rates
from limpetroute.routing import urgency
from limpetroute.wire import buffer_budget

LOG = logging.getLogger(__name__)

# Retry time for a request that other hosts may be able to send now.
OTHER_HOST_RETRY_S = 0.3
# Result of a send that this host cancelled, in logs and counters.
CUT = 'cut'
# Memory of answers that are buffered. A host has 128 MB.
MAX_ANSWER_BYTES = 8 << 20
MAX_ANSWERS_BYTES = 32 << 20
# Memory of connections and heads beside that of bodies. If they use more,
# less is left for bodies.
CONNECTIONS_BYTES = 1 << 20
# Parts of a prompt in the log line of a crash.
MAX_LOGGED_PARTS = 16


class ForwardContext:
    """State that all requests of a forwarder share.

    Parameters
    ----------
    view : FleetView
        Routes and runners.
    watch : ControlWatch
        Returns the number of entry hosts.
    scheduler : SchedulerClient
        Requests placements of streams.
    memory : StreamMemory
        Knows at which software versions this host's streams began.
    quarantine : QuarantineClient
        Holds the requests that crash runners.
    limits : RateLimitClient
        Enforces the rate limits that runners announce.
    slots : PlainSlotClient
        Leases slots of plain runners from the leader.
    teams : TeamGate
        Finds the team of each request.
    quotas : QuotaClient
        Keeps teams within their quotas.
    monitor : ResponseMonitor
        Knows which runners accept requests from this host.
    links : RunnerLinks
        Watches whether this host reaches runners at all.
    peers : PeerClient
        Passes requests to other entry hosts.
    balancing : BalancingState
        Whether this host shares its load with the leader.
    dialect : Dialect
        Formats of requests and responses.
    meters : ForwardMeters
        Metrics of the forwarder.
    zone : str
        Availability zone of this host.
    make_retry_budget : callable
        Returns a new retry budget for a service.
    rng : random.Random
        Breaks ties and draws services.
    max_idle_s : float
        Longest time that a connection to a runner is kept; 0 keeps none.
    max_bodies_bytes : int
        Maximum size of the bodies of all open requests together.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        watch: control_watch.ControlWatch,
        scheduler: scheduler_client.SchedulerClient,
        memory: stream_memory.StreamMemory,
        quarantine: quarantine_client.QuarantineClient,
        limits: rate_limit_client.RateLimitClient,
        slots: plain_slot_client.PlainSlotClient,
        teams: team_gate.TeamGate,
        quotas: quota_client.QuotaClient,
        monitor: response_monitor.ResponseMonitor,
        links: runner_links.RunnerLinks,
        peers: peer_client.PeerClient,
        balancing: balancing_state.BalancingState,
        dialect: dialect_module.Dialect,
        meters: forward_meters.ForwardMeters,
        zone: str,
        make_retry_budget: typing.Callable[[], retry_budget.RetryBudget],
        rng: random.Random,
        max_idle_s: float = runner_connections.DEFAULT_IDLE_S,
        max_bodies_bytes: int = forwarder_settings.MAX_BODIES_BYTES,
    ) -> None:
        self.view = view
        self.scheduler = scheduler
        self.memory = memory
        self.quarantine = quarantine
        self.limits = limits
        self.slots = slots
        self.teams = teams
        self.quotas = quotas
        self.monitor = monitor
        self.links = links
        self.peers = peers
        self.balancing = balancing
        self.dialect = dialect
        self.meters = meters
        self.zone = zone
        self.rng = rng
        self.answer_buffers = buffer_budget.BufferBudget(
            max_body_bytes=MAX_ANSWER_BYTES,
            max_total_bytes=MAX_ANSWERS_BYTES,
        )
        max_received_bytes = max_bodies_bytes + CONNECTIONS_BYTES
        self.received_bytes = buffer_budget.BufferBudget(
            max_body_bytes=max_received_bytes,
            max_total_bytes=max_received_bytes,
        )
        self.request_buffers = buffer_budget.BufferBudget(
            max_body_bytes=max_bodies_bytes,
            max_total_bytes=max_bodies_bytes,
            parent=self.received_bytes,
        )
        # When a stopping host aborts open requests, by the event loop's
        # clock.
        self.shutdown_s: float | None = None
        self._decode_speeds: dict[str, moving_mean.MovingMean] = {}
        self._watch = watch
        self.connections = runner_connections.RunnerConnections(
            view=view,
            balancing=balancing,
            entry_hosts=lambda: watch.entry_hosts,
            observer=meters.connections_to('runner'),
            max_idle_s=max_idle_s,
        )
        self._make_retry_budget = make_retry_budget
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(view={self.view!r})'

    def should_leave_to_peer(
        self, request: caller_request.CallerRequest
    ) -> bool:
        """Return whether another entry host should serve a request.

        This host reaches no runner, and another host is known or has passed
        the request on. While all known hosts are passed over, the request is
        refused: a send of this host would fail, often only after a timeout.
        """
        return self.links.are_cut and (
            request.from_peer or self.peers.has_hosts
        )

    @property
    def entry_hosts(self) -> int:
        """Known number of entry hosts, including this host."""
        return self._watch.entry_hosts

    def accepts_call(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
    ) -> bool:
        """Return whether a plain call is sure to end before this host stops.

        It is true until the host has left the balancer's rotation.
        """
        if self.shutdown_s is None:
            return True
        return shutdown_admission.call_ends_in_time(
            limit_s=self.remaining_s(request, route),
            remaining_s=self.shutdown_s - _now_s(),
        )

    def latest_start_s(
        self,
        service: service_module.Service,
        generation: caller_request.Generation,
    ) -> float:
        """Return until when a stream may start, by the event loop's clock.

        A stream that starts later is not sure to end before this host stops.
        It is infinite until the host has left the balancer's rotation.
        """
        if self.shutdown_s is None:
            return math.inf
        return self.shutdown_s - shutdown_admission.stream_s(
            max_tokens=generation.max_output_tokens,
            tokens_per_s=self._decode_speed(service).mean,
        )

    def note_decode_speed(
        self, service: service_module.Service, tokens_per_s: float
    ) -> None:
        """Record how fast a stream was decoded."""
        self._decode_speed(service).note(tokens_per_s)

    def run_priority(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: str,
    ) -> int | None:
        """Return the priority of a request at a runner.

        None unless the streams of the service have different priorities.
        """
        plan = self.view.plan
        if (
            plan is None
            or not self.balancing.may_share
            or not plan.has_ranks(service)
        ):
            return None
        if request.priority is not None:
            return urgency.limited(request.priority)
        return urgency.limited(route.priority)

    def remaining_s(
        self,
        request: caller_request.CallerRequest,
        route: route_module.Route,
    ) -> float:
        """Return the time left for an answer in seconds, at least 0."""
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        elapsed_s = asyncio.get_running_loop().time() - request.received_s
        return max(0.0, timeout_s - elapsed_s)

    def retry_after_s(self, backoff_s: float) -> float:
        """Return when a caller should retry if all runners asked to back off.

        Each host has backoffs of its own, and a caller that retries usually
        reaches another host.
        """
        if self.entry_hosts <= 1:
            return backoff_s
        return min(backoff_s, OTHER_HOST_RETRY_S)

    def run_in_background(
        self, work: typing.Coroutine[None, None, None]
    ) -> None:
        """Run a coroutine that no caller waits for."""
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def new_call(
        self,
        runner: runner_info.RunnerInfo,
        *,
        may_reuse: bool = False,
        is_repeatable: bool = False,
    ) -> runner_call.RunnerCall:
        """Return a new call to a runner.

        Streams open their own connections, as their connect shows that the
        runner is reachable.
        """
        return runner_call.RunnerCall(
            runner=runner,
            dialect=self.dialect,
            monitor=self.monitor,
            links=self.links,
            connections=self.connections,
            may_reuse=may_reuse,
            is_repeatable=is_repeatable,
        )

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._retry_budget(service).note_request(_now_s())

    def take_retry(self, service: str) -> bool:
        """Take a retry from a service's budget; return False if empty."""
        return self._retry_budget(service).take(_now_s(), self.entry_hosts)

    def give_back_retry(self, service: str) -> None:
        """Return a retry to a service's budget that reached no runner."""
        self._retry_budget(service).give_back()

    def count(
        self,
        route: route_module.Route | None,
        status: int,
        request: caller_request.CallerRequest,
    ) -> None:
        """Count an answer and record its time."""
        kind = route.kind.value if route else 'none'
        self.meters.answered(kind, status, _now_s() - request.received_s)
        if request.team:
            self.meters.team_answered(request.team, status)

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
        """Log and count the result of a send and the step that follows."""
        self.meters.sent(part, result.value)
        self._log_sent(
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
        """Record the rate limit that a runner's response announces."""
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
        answer_begun: bool,
    ) -> None:
        """Report a runner that broke off, if it has crashed.

        Parameters
        ----------
        request : CallerRequest
            The request that the runner was processing.
        runner : RunnerInfo
            The runner as it was known when the request was sent.
        answer_begun : bool
            Whether the runner had sent a part of the answer.
        """
        if not await crash_check.has_crashed(runner, self.view):
            return
        if not await self.links.reaches_another(runner):
            LOG.info(
                'refused connection not taken for a crash',
                extra={
                    'request': request.request_id,
                    'runner': runner.runner_id,
                    'address': runner.address,
                },
            )
            return
        self.meters.crashed(answer_begun)
        generation = request.generation
        shared_parts = generation.shared_parts if generation else ()
        LOG.info(
            'runner crashed while processing a request',
            extra={
                'request': request.request_id,
                'fingerprint': request.fingerprint,
                'shared_parts': shared_parts[:MAX_LOGGED_PARTS],
                'runner': runner.runner_id,
                'address': runner.address,
                'started_ms': runner.started_ms,
                'begun': answer_begun,
                'index': self.view.index,
            },
        )
        self.quarantine.note_crash(request, runner, answer_begun=answer_begun)

    @contextlib.contextmanager
    def log_if_cancelled(
        self,
        request: caller_request.CallerRequest,
        runner: runner_info.RunnerInfo,
        *,
        part: str = 'run',
    ) -> typing.Iterator[None]:
        """Log a send that is cancelled on this host.

        The route's timeout and a caller that disconnects cancel the task
        that waits for a runner. Without this log line the log would not
        name the runner that the request waited for.
        """
        started_s = _now_s()
        try:
            yield
        except (asyncio.CancelledError, responder_module.CallerGoneError):
            self.meters.sent(part, CUT)
            self._log_sent(
                request,
                runner,
                part=part,
                result=CUT,
                step='end',
                took_s=_now_s() - started_s,
                detail='the time is over or the caller is gone',
            )
            raise

    def _log_sent(
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
                'software_version': runner.version,
                'took_ms': round(took_s * 1000),
                'own_requests': load.requests,
                'failures': load.failures,
                'index': self.view.index,
                **fields,
            },
        )

    def _decode_speed(
        self, service: service_module.Service
    ) -> moving_mean.MovingMean:
        speed = self._decode_speeds.get(service.name)
        if speed is None:
            assert service.engine is not None
            speed = self._decode_speeds[service.name] = moving_mean.MovingMean(
                stage_rates.default_decode_tokens_per_s(service.engine)
            )
        return speed

    def _retry_budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = self._make_retry_budget()
        return budget


def _now_s() -> float:
    return asyncio.get_running_loop().time()
