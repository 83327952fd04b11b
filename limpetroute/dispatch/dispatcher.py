"""Schedules streams for all entry hosts while this control host leads."""

import asyncio
import dataclasses
import logging
import math
import typing

from limpetroute.control import node as node_module
from limpetroute.dispatch import order_codec
from limpetroute.dispatch import placed_versions
from limpetroute.dispatch import quota_ledger
from limpetroute.dispatch import service_runners
from limpetroute.dispatch import stage_orders
from limpetroute.dispatch import version_history
from limpetroute.routing import decision_preview
from limpetroute.routing import placement
from limpetroute.routing import placement_preview
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_origins
from limpetroute.routing import stream_scheduler
from limpetroute.telemetry import boot_clock
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# Period in which waiting streams are scheduled again without any event, and
# in which the runners' stages are compared with the wanted split.
PASS_PERIOD_S = 0.05
# Entry hosts find a new leader within a few hundred milliseconds and report
# their reservations. Placing streams before that would overfill runners
# that are already full and waste prefills.
RESTORE_PERIOD_S = 0.5
# Streams whose software version is known, of all entry hosts.
MAX_ORIGINS = 50_000
# Only hosts of earlier releases pass it on, for a stream whose software
# version is not known.
UNKNOWN_RETRY_AFTER_S = 1.0

# Placements wait while a preview takes a snapshot of a scheduler: 55 ms with
# 460 streams and 620 ms with 15,400 on a busy machine.
PREVIEW_PERIOD_S = 1.0
MAX_PREVIEWED_STREAMS = 1000

Answer = placement.Placement | placement.Rejection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    request: placement.PlacementRequest
    future: asyncio.Future[Answer | None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PreviewRefused:
    """A preview that would cost too much now, or that nothing supports."""

    reason: str


class Dispatcher:
    """Schedules streams for all entry hosts while this control host leads.

    Reservations are not written to the control log, because they are valid
    for a few seconds only. Entry hosts report theirs to a new leader.

    Parameters
    ----------
    node : Node
        This control host.
    codec : OrderCodec
        Parses routing configurations and encodes orders.
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
            lease_remaining_s=self._lease_remaining_s,
            handover_s=stage_orders.handover_s(
                gap_s=node.settings.order_gap_ms / 1000,
                clock_drift=node.settings.clock_drift,
            ),
        )
        self._limits = runner_limits.RunnerLimits()
        self._quotas = quota_ledger.QuotaLedger(
            window=node.settings.quotas.to_window()
        )
        self._schedulers: dict[str, stream_scheduler.StreamScheduler] = {}
        self._pending: dict[str, _Pending] = {}
        self._passes: set[str] = set()
        self._services: dict[str, service_module.Service] = {}
        self._routes_index = 0
        self._service_runners = service_runners.ServiceRunners(
            on_restart=self._forget_runner, on_change=self._note_runners
        )
        self._versions = version_history.VersionHistory()
        # Kept over terms: the version at which a stream began stays true.
        self._origins = stream_origins.StreamOrigins(max_entries=MAX_ORIGINS)
        self._placed = self._new_placed_versions()
        self._led_term = 0
        # Term to which the schedulers, limits and quotas belong.
        self._state_term = 0
        self._restores_until_s = 0.0
        self._next_preview_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(schedulers={self._schedulers!r})'

    def start(self) -> None:
        """Start scheduling whenever this host leads."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop scheduling."""
        if self._task is not None:
            self._task.cancel()

    @property
    def leads(self) -> bool:
        """Whether this host holds the leader lease, so no other leads."""
        return self._node.config.replica.lease_valid(boot_clock.now_s())

    def _lease_remaining_s(self, term: int) -> float:
        """Return for how long this host leads in a term."""
        replica = self._node.config.replica
        if replica.term != term:
            return -math.inf
        return replica.lease_remaining_s(boot_clock.now_s())

    async def request_placement(
        self, request: placement.PlacementRequest
    ) -> Answer | None:
        """Wait for a stream's placement or rejection.

        Returns None if this host does not lead, or does not know the
        service.
        """
        if not self.leads:
            return None
        self._note_term()
        scheduler = self._scheduler(request.service)
        if scheduler is None:
            return None
        if request.goes_on and request.version is None:
            request = await self._after_restores(request)
            version = self._find_version(request)
            if not self.leads:
                return None
            if version is None:
                return _reject_unknown(request)
            request = dataclasses.replace(request, version=version)
        if request.quota_cost:
            request = await self._after_restores(request)
            if not self.leads:
                return None
            refused = self._quotas.charge(request, boot_clock.now_s())
            if refused is not None:
                return refused
            scheduler = self._scheduler(request.service)
            if scheduler is None:
                return None
        future: asyncio.Future[Answer | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[request.request_id] = _Pending(
            request=request, future=future
        )
        now_s = boot_clock.now_s()
        if request.route_priority is not None:
            self._node.balancing.note_stream(
                request.service, request.route_priority, now_s
            )
        terms = self._node.balancing.terms(request.service, now_s)
        if terms.has_ranks != scheduler.has_ranks:
            LOG.info(
                'ranks of a service changed',
                extra={
                    'service': request.service,
                    'has_ranks': terms.has_ranks,
                },
            )
        scheduler.set_terms(terms)
        scheduler.submit(request, now_s)
        self._request_pass(request.service)
        try:
            answer = await future
        except asyncio.CancelledError:
            scheduler.cancel(request.request_id)
            self._quotas.give_back(request, boot_clock.now_s())
            raise
        finally:
            self._pending.pop(request.request_id, None)
        if answer is None:
            scheduler.cancel(request.request_id)
        if isinstance(answer, placement.Placement):
            self._placed.add(request, answer, boot_clock.now_s())
        else:
            self._quotas.give_back(request, boot_clock.now_s())
        return answer

    async def preview_placement(
        self, request: placement.PlacementRequest
    ) -> placement_preview.PlacementPreview | PreviewRefused | None:
        """Return what would be decided about a new stream now.

        Nothing changes by it, and quotas are not looked at. Returns None if
        this host does not lead, or does not know the service.
        """
        if not self.leads or self._node.config.replica.term != self._led_term:
            return None
        scheduler = self._scheduler(request.service)
        if scheduler is None:
            return None
        now_s = boot_clock.now_s()
        if now_s < self._restores_until_s:
            return PreviewRefused(reason='a new leader waits for reports')
        if now_s < self._next_preview_s:
            return PreviewRefused(reason='one preview a second is allowed')
        if scheduler.streams > MAX_PREVIEWED_STREAMS:
            return PreviewRefused(
                reason=f'more than {MAX_PREVIEWED_STREAMS} streams'
            )
        self._next_preview_s = now_s + PREVIEW_PERIOD_S
        return await asyncio.to_thread(
            decision_preview.preview,
            scheduler.snapshot(),
            request,
            list(self.runners(request.service)),
            now_s,
            changing=self._orders.changing(),
        )

    def _find_version(self, request: placement.PlacementRequest) -> str | None:
        """Return the software version at which a stream began, or None."""
        now_s = boot_clock.now_s()
        for request_id in (request.request_id, request.resumes):
            key = stream_origins.StreamKey(
                service=request.service,
                team=request.team,
                request_id=request_id,
            )
            version = self._origins.find(key, now_s)
            if version is not None:
                return version
        table = self._node.config.state.runners
        self._service_runners.update(table)
        return self._versions.sole_version(request.service, now_s)

    async def _after_restores(
        self, request: placement.PlacementRequest
    ) -> placement.PlacementRequest:
        """Wait until hosts have told a new leader what was spent before.

        Returns the request with the time that it waited.
        """
        started_s = boot_clock.now_s()
        if started_s >= self._restores_until_s:
            return request
        await asyncio.sleep(self._restores_until_s - started_s)
        waited_s = request.waited_s + boot_clock.now_s() - started_s
        return dataclasses.replace(request, waited_s=waited_s)

    def note_spent(
        self,
        host_id: str,
        spent: typing.Mapping[str, float],
        history: typing.Mapping[str, typing.Sequence[tuple[float, float]]],
    ) -> dict[str, float | None]:
        """Charge what a host let run; see `QuotaLedger.note_spent`."""
        self._note_term()
        self._update_services()
        return self._quotas.note_spent(
            host_id, spent, history, boot_clock.now_s()
        )

    def low_teams(self) -> list[str]:
        """Return the teams that are near their quota."""
        return self._quotas.low_teams(boot_clock.now_s())

    @property
    def term(self) -> int:
        """Term in which this host leads; 0 if it does not."""
        return self._led_term

    def describe_quotas(self, count: int) -> list[dict[str, object]]:
        """Return the teams nearest to their quotas as JSON types."""
        if not self.leads:
            return []
        return self._quotas.describe(count, boot_clock.now_s())

    def cancel(self, service: str, request_id: str) -> None:
        """Remove a waiting stream whose caller disconnected."""
        scheduler = self._scheduler(service)
        if scheduler is not None:
            scheduler.cancel(request_id)

    def note_prefill_done(
        self, service: str, request_id: str, attempt: int
    ) -> None:
        """Note that a prefill runner has finished a prompt."""
        self._note_used(service, request_id, attempt)
        scheduler = self._scheduler(service)
        if scheduler is not None:
            scheduler.note_prefill_done(
                request_id, attempt, boot_clock.now_s()
            )
            self._request_pass(service)

    def note_first_event(
        self, service: str, request_id: str, attempt: int, took_s: float
    ) -> None:
        """Note the first event of a stream.

        Without shared load, hosts report it only of streams that their decode
        runner prefilled.

        Parameters
        ----------
        service : str
            The stream's service.
        request_id : str
            The stream.
        attempt : int
            Number of the attempt.
        took_s : float
            Seconds from sending the request to its first event.
        """
        self._note_used(service, request_id, attempt)
        scheduler = self._scheduler(service)
        if scheduler is not None:
            now_s = boot_clock.now_s()
            scheduler.note_first_event(request_id, attempt, took_s, now_s)
            self._request_pass(service)

    def release(self, service: str, release: placement.Release) -> None:
        """Release a stream's reservation."""
        self._placed.drop(service, release.request_id, release.attempt)
        scheduler = self._scheduler(service)
        if scheduler is not None:
            scheduler.release(release, boot_clock.now_s())
            self._request_pass(service)

    def acquire_token(
        self, report: runner_limits.LimitReport, *, has_request: bool
    ) -> float | None:
        """Acquire the right to send one request to a rate-limited runner.

        Returns None if the host may send now, and else the seconds to wait
        before it tries again.

        Parameters
        ----------
        report : LimitReport
            The limit that the runner announced to the entry host.
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
        self,
        reserved: placement.Placement,
        request: placement.PlacementRequest,
    ) -> None:
        """Restore a reservation that an earlier leader made."""
        if not self.leads:
            return
        self._note_term()
        scheduler = self._scheduler(request.service)
        if scheduler is not None:
            scheduler.restore(reserved, request, boot_clock.now_s())

    def note_streams(
        self, origins: typing.Iterable[stream_origins.StreamOrigin]
    ) -> None:
        """Note the software versions at which a host's streams began."""
        now_s = boot_clock.now_s()
        for origin in origins:
            self._origins.note(
                origin.key, origin.version, now_s + origin.remaining_s, now_s
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PASS_PERIOD_S)
            # The next leader needs to know which versions there were.
            self._service_runners.update(self._node.config.state.runners)
            if not self.leads:
                if self._led_term:
                    LOG.info(
                        'no longer dispatching',
                        extra={'term': self._led_term},
                    )
                self._led_term = 0
                self._resolve_pending()
                continue
            await self._node.routes_splitter.split(self._node.config.state)
            if not self.leads:
                continue
            self._note_term()
            for service, scheduler in self._schedulers.items():
                if scheduler.waiting:
                    self._request_pass(service)
            self._reconcile_stages()
            self._quotas.log_calm_teams(boot_clock.now_s())

    def _resolve_pending(self) -> None:
        """Resolve all waiting requests with None after losing the lease.

        The entry hosts then look for the next leader. Without this, the
        streams would wait here until their callers disconnect.
        """
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_result(None)

    def _note_term(self) -> None:
        """Begin a new term, if this host leads in it."""
        term = self._node.config.replica.term
        if term == self._led_term or not self.leads:
            return
        self._led_term = term
        if term == self._state_term:
            # The lease lapsed, and no other host led meanwhile.
            LOG.info('dispatching again', extra={'term': term})
            return
        # State from an earlier term is out of date. Entry hosts report
        # their reservations as soon as they find the new leader.
        self._state_term = term
        self._restores_until_s = boot_clock.now_s() + RESTORE_PERIOD_S
        self._schedulers.clear()
        self._limits = runner_limits.RunnerLimits()
        self._quotas.begin_term()
        self._placed = self._new_placed_versions()
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
        """Load the services of the configuration in force.

        The services of the previous version stay in use until the new
        document has been split in a thread.
        """
        state = self._node.config.state
        if state.routes is None or state.routes_index == self._routes_index:
            return
        is_split = state.recent_routes.is_split(state.routes.digest)
        if self._services and not is_split:
            return
        copy = state.routes_copy()
        assert copy is not None
        services = self._codec.parse_services(copy.parts)
        self._services = {service.name: service for service in services}
        self._quotas.set_teams(self._codec.parse_teams(copy.parts))
        self._routes_index = state.routes_index

    def runners(self, service: str) -> list[runner_info.RunnerInfo]:
        """Return the registered runners of a service."""
        table = self._node.config.state.runners
        return self._service_runners.get(service, table)

    def _note_runners(
        self,
        live: list[runner_info.RunnerInfo],
        departed: list[runner_info.RunnerInfo],
    ) -> None:
        self._versions.note(
            live=live, departed=departed, now_s=boot_clock.now_s()
        )

    def _note_used(self, service: str, request_id: str, attempt: int) -> None:
        self._placed.note_used(
            service, request_id, attempt, boot_clock.now_s()
        )

    def _new_placed_versions(self) -> placed_versions.PlacedVersions:
        return placed_versions.PlacedVersions(
            origins=self._origins, max_entries=MAX_ORIGINS
        )

    def _forget_runner(self, runner_id: str) -> None:
        """Drop all state of a runner that has restarted."""
        for scheduler in self._schedulers.values():
            scheduler.reset_runner(runner_id)

    def _request_pass(self, service: str) -> None:
        """Schedule one pass over a service's streams on the event loop.

        All events of one loop iteration share one pass, and heartbeats that
        have arrived are processed before it.
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
        if boot_clock.now_s() < self._restores_until_s:
            return
        runners = self.runners(service)
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
                    **(_inputs(pending.request) if pending else {}),
                    **(
                        scheduler.describe_rank(pending.request)
                        if pending
                        else {}
                    ),
                    **scheduler.describe_estimate(answer.request_id),
                    'held': scheduler.reservation_count,
                    'waiting': scheduler.waiting,
                    'saturated': scheduler.is_saturated,
                    'decode_runners': scheduler.decode_runners,
                    'prefill_runners': scheduler.prefill_runners,
                    'tokens_per_s': round(scheduler.tokens_per_s),
                    'term': self._led_term,
                },
            )
            if pending is not None and not pending.future.done():
                pending.future.set_result(answer)
        self._log_pace(service, scheduler)

    def _log_pace(
        self, service: str, scheduler: stream_scheduler.StreamScheduler
    ) -> None:
        for change in scheduler.take_pace_changes():
            extra = {
                'runner': change.runner_id,
                'service': service,
                'reason': change.reason,
            }
            if change.limit < math.inf:
                extra['limit'] = str(round(change.limit, 1))
                LOG.info('runner limited', extra=extra)
            else:
                LOG.info('runner at full work', extra=extra)

    def describe_limited(self) -> dict[str, dict[str, float]]:
        """Return the limits of runners by their pace, by service."""
        if not self.leads:
            return {}
        return {
            service: {
                runner_id: round(limit, 1)
                for runner_id, limit in scheduler.limited_runners().items()
            }
            for service, scheduler in self._schedulers.items()
        }

    def _reconcile_stages(self) -> None:
        self._update_services()
        for service in self._services.values():
            if service.engine is None:
                continue
            runners = self.runners(service.name)
            now_s = boot_clock.now_s()
            scheduler = self._schedulers.get(service.name)
            gone_s = scheduler.gone_s(runners, now_s) if scheduler else {}
            rates = scheduler.rates if scheduler else None
            self._orders.reconcile(
                service,
                runners,
                now_s,
                gone_s=gone_s,
                rates=rates,
                streams=scheduler.streams if scheduler else 0,
                is_shared=self._node.balancing.is_shared(now_s),
                factors=scheduler.runner_factors() if scheduler else None,
            )


def _reject_unknown(
    request: placement.PlacementRequest,
) -> placement.Rejection:
    LOG.info(
        'stream of unknown software version',
        extra={
            'request': request.request_id,
            'service': request.service,
            'team': request.team,
            'resumes': request.resumes[: stream_origins.MAX_ID_CHARS],
        },
    )
    return placement.Rejection(
        request_id=request.request_id,
        retry_after_s=UNKNOWN_RETRY_AFTER_S,
        reason='the software version that began the stream is not known',
        is_unknown_stream=True,
    )


def _detail(answer: Answer) -> dict[str, typing.Any]:
    body = dataclasses.asdict(answer)
    del body['request_id']
    body.pop('runners', None)
    body['software_version'] = body.pop('version', None)
    forecast = body.pop('forecast', None)
    if forecast is not None:
        body.update(
            queued_ms=round(forecast['queued_s'] * 1000),
            expected_first_ms=round(forecast['first_event_s'] * 1000),
            in_time=forecast['in_time'],
            beside=forecast['beside'],
            pause_beside_ms=round(forecast['pause_s'] * 1000),
            read_tokens_per_s=round(forecast['read_tokens_per_s']),
        )
    return body


def _inputs(request: placement.PlacementRequest) -> dict[str, typing.Any]:
    """Return the inputs of a scheduling decision as log fields.

    The prompt is logged because a caller that retries has another request
    id but the same prompt.
    """
    return {
        'prompt': request.prompt_id,
        'prompt_tokens': request.prompt_tokens,
        'expected_tokens': request.output_tokens,
        'written_tokens': request.written_tokens,
        'waited_ms': round(request.waited_s * 1000),
        'patience_ms': round(request.patience_s * 1000),
        'goes_on': request.goes_on,
        'team': request.team,
        'priority': request.priority,
    }
