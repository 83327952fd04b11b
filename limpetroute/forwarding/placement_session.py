"""Acquires and releases the runners of one stream."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import local_reply
from limpetroute.forwarding import quota_charge
from limpetroute.forwarding import scheduler_client
from limpetroute.routing import forecast as forecast_module
from limpetroute.routing import local_placement
from limpetroute.routing import placement
from limpetroute.routing import placement_hints
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_times

LOG = logging.getLogger(__name__)

# A host that places streams locally uses this many times its even share
# of a runner. Usually only a few hosts cannot reach the leader, and all
# other hosts keep filling the same runners with placements of the leader.
LOCAL_SHARE_FACTOR = 1.5
# Time after which a stream that was not placed tries the leader and local
# placement again.
RETRY_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignedRunners:
    """The runners of one stream, and the forecast for it."""

    decode: runner_info.RunnerInfo
    prefill: runner_info.RunnerInfo | None
    forecast: forecast_module.Forecast | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamProgress:
    """Progress of a stream; see `PlacementRequest` for the fields.

    ``shedding`` are runners that refused it although it had been placed.
    ``has_runner`` is whether it still runs at another runner. Its caller does
    not return then if this placement is rejected.
    """

    tried: frozenset[str]
    is_resumed: bool
    written_tokens: int
    may_use_prefill_runner: bool
    is_prefilled: bool
    shedding: frozenset[str]
    waited_s: float
    version: str | None = None
    resumes: str = ''
    has_runner: bool = False
    # Version that the leader has noted for a stream without an event.
    noted_version: str | None = None


class PlacementSession:
    """Acquires and releases the runners of one stream.

    Parameters
    ----------
    context : ForwardContext
        Shared state of the forwarder.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    service : Service
        Its service.
    charge : QuotaCharge
        What it is charged to its team.
    name : str
        Identity of the placement, if the stream holds another one under the
        identity of its request.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: service_module.Service,
        charge: quota_charge.QuotaCharge,
        name: str = '',
    ) -> None:
        self._name = name or request.request_id
        self._charge = charge
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._attempt = 0
        # Leaders that placed the stream, and that know that it was used.
        self._placed_by = ''
        self._used_for = ''

    def __repr__(self) -> str:
        return f'{type(self).__name__}(name={self._name!r})'

    async def acquire(
        self, progress: StreamProgress
    ) -> AssignedRunners | placement.Rejection:
        """Return the stream's runners, or a rejection.

        The leading control host places the stream. Without a usable
        response from the leader, this host places the stream by the load
        that it has sent itself. If it finds no free capacity, it retries
        for a while: a new leader is usually elected within a second,
        which is sooner than a rejected caller retries.
        """
        started_s = _now_s()
        unavailable: set[str] = set()
        while True:
            hints = self._make_hints(progress)
            self._attempt = self._context.scheduler.next_attempt()
            request = self._make_request(
                progress,
                avoid=(*progress.tried, *hints.unavailable, *unavailable),
                waited_here_s=_now_s() - started_s,
            )
            leader_url = self._context.scheduler.leader_url
            answer = await self._context.scheduler.request_placement(
                request, hints
            )
            if isinstance(answer, placement.Rejection):
                if answer.over_quota:
                    self._charge.note_refused()
                return answer
            if isinstance(answer, placement.Placement):
                self._charge.note_granted()
                version = progress.version
                if version is None:
                    version = answer.version
                if progress.is_resumed and version is None:
                    self.release()
                    return placement.Rejection(
                        request_id=self._name,
                        retry_after_s=1.0,
                        reason='the leader keeps no software versions',
                    )
                assigned = self._find_runners(answer)
                is_right = (
                    assigned is None
                    or version is None
                    or assigned.decode.version == version
                )
                if assigned is not None and is_right:
                    self._placed_by = leader_url
                    return assigned
                self.release()
                if not is_right or self._has_become_unavailable(answer):
                    unavailable.add(answer.decode_id)
                    continue
            # The leader may have held the request before it failed.
            waited_s = progress.waited_s + _now_s() - started_s
            request = dataclasses.replace(
                request, waited_s=waited_s, version=_local_version(progress)
            )
            result = self._place_locally(request, progress)
            if isinstance(
                result, AssignedRunners
            ) or not stream_times.may_wait(request, RETRY_INTERVAL_S):
                self._log_local_placement(request, answer, result)
                return result
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _has_become_unavailable(self, assigned: placement.Placement) -> bool:
        """Return whether the decode runner accepts no more requests now.

        Another response may have said so while the leader decided.
        """
        runner = self._find_runner(assigned.decode_id, assigned)
        return runner is not None and not self._context.monitor.accepts(runner)

    @property
    def is_noted_by_leader(self) -> bool:
        """Whether the present leader has noted the stream's version.

        It does when it is told that its placement was used.
        """
        return (
            self._name == self._request.request_id
            and self._used_for != ''
            and self._used_for == self._context.scheduler.leader_url
        )

    def note_prefill_done(self) -> None:
        """Report that the prefill runner has prefilled the prompt."""
        self._used_for = self._placed_by
        self._context.scheduler.note_prefill_done(
            self._service.name, self._name, self._attempt
        )

    def note_first_event(self, sent_s: float) -> None:
        """Report the first event of the decode runner.

        Parameters
        ----------
        sent_s : float
            When the request was sent to it, by the event loop's clock.
        """
        self._used_for = self._placed_by
        self._context.scheduler.note_first_event(
            self._service.name,
            self._name,
            self._attempt,
            _now_s() - sent_s,
        )

    def release(
        self,
        *,
        decode_s: float = 0.0,
        tokens: int = 0,
        failed: typing.Collection[str] = (),
        full: typing.Collection[str] = (),
        whole: bool = False,
    ) -> None:
        """Release the placement, with what was measured of the stream."""
        self._context.scheduler.release(
            self._service.name,
            placement.Release(
                request_id=self._name,
                attempt=self._attempt,
                output_tokens=tokens,
                decode_s=decode_s,
                failed=tuple(failed),
                full=tuple(full),
                whole=whole,
            ),
        )

    def first_request(
        self,
    ) -> tuple[placement.PlacementRequest, placement_hints.PlacementHints]:
        """Return what `acquire` would ask the leader for a new stream."""
        progress = StreamProgress(
            tried=frozenset(),
            is_resumed=False,
            written_tokens=0,
            may_use_prefill_runner=True,
            is_prefilled=False,
            shedding=frozenset(),
            waited_s=0.0,
        )
        hints = self._make_hints(progress)
        request = self._make_request(
            progress, avoid=hints.unavailable, waited_here_s=0.0
        )
        return request, hints

    def _make_hints(
        self, progress: StreamProgress
    ) -> placement_hints.PlacementHints:
        return dataclasses.replace(
            self._context.monitor.placement_hints(
                self._service.name,
                tried=progress.tried,
                shedding=progress.shedding,
                is_prefilled=progress.is_prefilled,
            ),
            version=progress.version,
            resumes=progress.resumes,
            has_runner=progress.has_runner,
            route_priority=self._route.priority,
        )

    def _make_request(
        self,
        progress: StreamProgress,
        *,
        avoid: tuple[str, ...],
        waited_here_s: float,
    ) -> placement.PlacementRequest:
        generation = self._request.generation
        assert generation is not None
        waited_s = progress.waited_s + waited_here_s
        return placement.PlacementRequest(
            request_id=self._name,
            service=self._service.name,
            prompt_tokens=generation.prompt_tokens,
            output_tokens=generation.expected_output_tokens,
            most_output_tokens=generation.max_output_tokens,
            waited_s=waited_s,
            target_s=self._route.target_s,
            patience_s=waited_s
            + self._context.remaining_s(self._request, self._route),
            goes_on=progress.is_resumed,
            written_tokens=progress.written_tokens,
            reads_prompt=progress.may_use_prefill_runner
            and self._has_prefill_runner(),
            may_repeat=self._route.repeatable,
            zone=self._context.zone,
            # The leader expects the caller of a rejected prompt to return.
            prompt_id='' if progress.has_runner else generation.prompt_id,
            attempt=self._attempt,
            avoid=avoid,
            version=progress.version,
            resumes=progress.resumes,
            has_runner=progress.has_runner,
            pause_target_s=self._route.gap_target_s,
            silence_s=self._route.silence_s,
            team=self._request.team,
            quota_cost=self._charge.due,
            priority=self._priority(),
            route_priority=self._route.priority,
        )

    def _has_prefill_runner(self) -> bool:
        """Return whether a prefill runner may accept the prompt.

        It is also true if this host knows of no prefill runner, because the
        leader may know of one.
        """
        known = [
            one
            for one in self._context.view.runners(self._service.name)
            if one.ready and one.stage is stage_module.Stage.PREFILL
        ]
        accepts = self._context.monitor.accepts
        return not known or any(accepts(one) for one in known)

    def _priority(self) -> int:
        """Return the team's priority, or that of the route."""
        if self._request.priority is not None:
            return self._request.priority
        return self._route.priority

    def _find_runners(
        self, assigned: placement.Placement
    ) -> AssignedRunners | None:
        view = self._context.view
        if assigned.forecast is not None:
            view.load(assigned.decode_id).note_fleet_streams(
                assigned.forecast.beside + 1, _now_s()
            )
        decode = self._find_runner(assigned.decode_id, assigned)
        if decode is None or not self._is_usable(decode):
            return None
        prefill = None
        if assigned.prefill_id:
            prefill = self._find_runner(assigned.prefill_id, assigned)
        if prefill is not None and not self._is_usable(prefill):
            prefill = None
        return AssignedRunners(
            decode=decode, prefill=prefill, forecast=assigned.forecast
        )

    def _is_usable(self, runner: runner_info.RunnerInfo) -> bool:
        return runner.ready and self._context.monitor.accepts(runner)

    def _find_runner(
        self, runner_id: str, assigned: placement.Placement
    ) -> runner_info.RunnerInfo | None:
        """Return a runner as this host knows it, or as the leader does.

        The leader places waiting streams at a new runner at once, some
        milliseconds before other hosts learn of it. Placing them locally
        instead sends them to runners that are gone.
        """
        known = self._context.view.runner(runner_id)
        if known is not None:
            return known
        for runner in assigned.runners:
            if runner.runner_id == runner_id:
                return runner
        return None

    def _place_locally(
        self,
        request: placement.PlacementRequest,
        progress: StreamProgress,
    ) -> AssignedRunners | placement.Rejection:
        if request.waited_s > stream_times.max_wait_s(request):
            return placement.Rejection(
                request_id=request.request_id,
                retry_after_s=1.0,
                reason='its caller is about to leave',
            )
        if progress.is_resumed and request.version is None:
            return placement.Rejection(
                request_id=request.request_id,
                retry_after_s=1.0,
                reason='no leader to ask for the software version',
            )
        context = self._context
        decode = self._choose_decode_locally(
            request, tried=(*request.avoid, *progress.shedding)
        )
        if decode is None and progress.shedding:
            decode = self._choose_decode_locally(request, tried=request.avoid)
        prefill = None
        if request.reads_prompt:
            prefill = local_placement.choose_prefill(
                context.monitor.accepting(self._service.name),
                loads=context.view.loads,
                now_s=_now_s(),
                rng=context.rng,
            )
        may_prefill = (
            progress.is_prefilled
            or prefill
            or local_placement.may_self_prefill_locally(
                request, entry_hosts=context.entry_hosts
            )
        )
        if (
            decode is None
            or not may_prefill
            or not self._take_rate_limits(decode, prefill)
        ):
            return placement.Rejection(
                request_id=request.request_id,
                retry_after_s=1.0,
                reason='no room known',
            )
        verdict = self._charge.take_locally()
        if not verdict.allowed:
            return placement.Rejection(
                request_id=request.request_id,
                retry_after_s=verdict.wait_s,
                reason=local_reply.LOCAL_SHARE_USED,
            )
        context.scheduler.note_local_placement(
            placement.Placement(
                request_id=request.request_id,
                decode_id=decode.runner_id,
                prefill_id=prefill.runner_id if prefill else '',
            ),
            request,
        )
        return AssignedRunners(decode=decode, prefill=prefill)

    def _choose_decode_locally(
        self,
        request: placement.PlacementRequest,
        *,
        tried: typing.Collection[str],
    ) -> runner_info.RunnerInfo | None:
        context = self._context
        assert self._service.engine is not None
        return local_placement.choose_decode(
            context.monitor.accepting(self._service.name),
            engine=self._service.engine,
            loads=context.view.loads,
            tokens=request.prompt_tokens + request.most_output_tokens,
            share=LOCAL_SHARE_FACTOR / context.entry_hosts,
            tried=tried,
            version=request.version,
            now_s=_now_s(),
            rng=context.rng,
        )

    def _take_rate_limits(
        self,
        decode: runner_info.RunnerInfo,
        prefill: runner_info.RunnerInfo | None,
    ) -> bool:
        """Return whether the rate limits allow a send to both runners.

        A send that is allowed counts against its runner's limit.
        """
        limits = self._context.limits
        if prefill is not None and not limits.take_locally(prefill):
            return False
        return limits.take_locally(decode)

    def _log_local_placement(
        self,
        request: placement.PlacementRequest,
        answer: scheduler_client.PlacementResult,
        result: AssignedRunners | placement.Rejection,
    ) -> None:
        decode = (
            result.decode.runner_id
            if isinstance(result, AssignedRunners)
            else ''
        )
        LOG.info(
            'placement decided without the leader',
            extra={
                'request': request.request_id,
                'why': str(answer),
                'decode': decode,
                'waited_ms': round(request.waited_s * 1000),
                'index': self._context.view.index,
            },
        )


def _local_version(progress: StreamProgress) -> str | None:
    """Return the version of a stream that this host places by itself.

    A stream without an event may go anywhere, but a leader that has noted a
    version and cannot be reached would not learn of another one.
    """
    if progress.version is not None or progress.is_resumed:
        return progress.version
    return progress.noted_version


def _now_s() -> float:
    return asyncio.get_running_loop().time()
