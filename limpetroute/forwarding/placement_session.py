"""AssignedRunners at runners for one stream, and giving them back."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import scheduler_client
from limpetroute.routing import forecast as forecast_module
from limpetroute.routing import local_placement
from limpetroute.routing import placement
from limpetroute.routing import route as route_module
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_times

LOG = logging.getLogger(__name__)

# A host that decides alone takes this many times its even part of a
# runner: it is mostly one of few that are cut off, and the others go on
# filling the same runners with places that the leader gives.
LOCAL_SHARE_FACTOR = 1.5
# How often a host without a leader looks whether there is one again, or
# room among its own streams.
LOOK_AGAIN_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AssignedRunners:
    """The runners of one stream, and what is expected of it."""

    decode: runner_info.RunnerInfo
    prefill: runner_info.RunnerInfo | None
    forecast: forecast_module.Forecast | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamProgress:
    """What has become of a stream; see `PlacementRequest` for the fields."""

    tried: frozenset[str]
    is_resumed: bool
    written_tokens: int
    may_use_prefill_runner: bool
    waited_s: float


class PlacementSession:
    """AssignedRunners at runners for one stream, and giving them back.

    Parameters
    ----------
    context : ForwardContext
        What all forwarding shares.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    service : Service
        Its service.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: service_module.Service,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._attempt = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    async def acquire(
        self, so_far: StreamProgress
    ) -> AssignedRunners | placement.Rejection:
        """Return runners, or a rejection.

        The host that decides for all is asked; where it cannot be, this
        host decides by what it has sent itself. Where it has no room
        left, another leader is mostly there within a second, sooner than
        a caller that was rejected is back.
        """
        begun_s = _now_s()
        while True:
            ask = self._ask(so_far, waited_here_s=_now_s() - begun_s)
            answer = await self._context.scheduler.request_placement(ask)
            if isinstance(answer, placement.Rejection):
                return answer
            if isinstance(answer, placement.Placement):
                rooms = self._rooms(answer)
                if rooms is not None:
                    return rooms
                self.release()
            # The leader may have kept it waiting before it failed.
            waited_s = so_far.waited_s + _now_s() - begun_s
            ask = dataclasses.replace(ask, waited_s=waited_s)
            got = self._decide_alone(ask)
            if isinstance(got, AssignedRunners) or not stream_times.may_wait(
                ask, LOOK_AGAIN_S
            ):
                self._log_alone(ask, answer, got)
                return got
            await asyncio.sleep(LOOK_AGAIN_S)

    def note_prefill_done(self) -> None:
        """Tell whoever gave the places that the prompt was read."""
        self._context.scheduler.note_prefill_done(
            self._service.name, self._request.request_id, self._attempt
        )

    def note_first_event(self, sent_s: float) -> None:
        """Tell that the decode runner has read what it was sent then."""
        self._context.scheduler.note_first_event(
            self._service.name,
            self._request.request_id,
            self._attempt,
            _now_s() - sent_s,
        )

    def release(
        self,
        *,
        events_s: float = 0.0,
        tokens: int = 0,
        failed: typing.Collection[str] = (),
        full: typing.Collection[str] = (),
        whole: bool = False,
    ) -> None:
        """Give back what is held, with what was measured."""
        self._context.scheduler.release(
            self._service.name,
            placement.Release(
                request_id=self._request.request_id,
                attempt=self._attempt,
                output_tokens=tokens,
                decode_s=events_s,
                failed=tuple(failed),
                full=tuple(full),
                whole=whole,
            ),
        )

    def _ask(
        self, so_far: StreamProgress, *, waited_here_s: float
    ) -> placement.PlacementRequest:
        generation = self._request.generation
        assert generation is not None
        self._attempt = self._context.scheduler.next_attempt()
        waited_s = so_far.waited_s + waited_here_s
        return placement.PlacementRequest(
            request_id=self._request.request_id,
            service=self._service.name,
            prompt_tokens=generation.prompt_tokens,
            output_tokens=generation.expected_output_tokens,
            most_output_tokens=generation.max_output_tokens,
            waited_s=waited_s,
            target_s=self._route.target_s,
            patience_s=waited_s
            + self._context.remaining_s(self._request, self._route),
            goes_on=so_far.is_resumed,
            written_tokens=so_far.written_tokens,
            reads_prompt=so_far.may_use_prefill_runner,
            may_repeat=self._route.repeatable,
            zone=self._context.zone,
            prompt_id=generation.prompt_id,
            attempt=self._attempt,
            avoid=tuple(so_far.tried),
            pause_target_s=self._route.gap_target_s,
            silence_s=self._route.silence_s,
        )

    def _rooms(self, place: placement.Placement) -> AssignedRunners | None:
        view = self._context.view
        if place.forecast is not None:
            view.load(place.decode_id).note_fleet_streams(
                place.forecast.beside + 1, _now_s()
            )
        decode = view.runner(place.decode_id)
        if decode is None or not decode.ready:
            return None
        prefill = None
        if place.prefill_id:
            prefill = view.runner(place.prefill_id)
        if prefill is not None and not prefill.ready:
            prefill = None
        return AssignedRunners(
            decode=decode, prefill=prefill, forecast=place.forecast
        )

    def _decide_alone(
        self, ask: placement.PlacementRequest
    ) -> AssignedRunners | placement.Rejection:
        if ask.waited_s > stream_times.max_wait_s(ask):
            return placement.Rejection(
                request_id=ask.request_id,
                retry_after_s=1.0,
                reason='its caller is about to leave',
            )
        context = self._context
        assert self._service.engine is not None
        runners = context.view.runners(self._service.name)
        now_s = _now_s()
        decode = local_placement.choose_decode(
            runners,
            engine=self._service.engine,
            loads=context.view.loads,
            tokens=ask.prompt_tokens + ask.most_output_tokens,
            share=LOCAL_SHARE_FACTOR / context.entry_hosts,
            tried=ask.avoid,
            now_s=now_s,
            rng=context.rng,
        )
        prefill = None
        if ask.reads_prompt:
            prefill = local_placement.choose_prefill(
                runners,
                loads=context.view.loads,
                now_s=now_s,
                rng=context.rng,
            )
        may_read = prefill or local_placement.may_self_prefill_locally(
            ask, entry_hosts=context.entry_hosts
        )
        if decode is None or not may_read or not self._take(decode, prefill):
            return placement.Rejection(
                request_id=ask.request_id,
                retry_after_s=1.0,
                reason='no room known',
            )
        context.scheduler.note_local_placement(
            placement.Placement(
                request_id=ask.request_id,
                decode_id=decode.runner_id,
                prefill_id=prefill.runner_id if prefill else '',
            ),
            ask,
        )
        return AssignedRunners(decode=decode, prefill=prefill)

    def _take(
        self,
        decode: runner_info.RunnerInfo,
        prefill: runner_info.RunnerInfo | None,
    ) -> bool:
        """Return whether limits let this host send to both now."""
        limits = self._context.limits
        if prefill is not None and not limits.take_locally(prefill):
            return False
        return limits.take_locally(decode)

    def _log_alone(
        self,
        ask: placement.PlacementRequest,
        answer: scheduler_client.PlacementResult,
        got: AssignedRunners | placement.Rejection,
    ) -> None:
        decode = (
            got.decode.runner_id if isinstance(got, AssignedRunners) else ''
        )
        LOG.info(
            'decided alone',
            extra={
                'request': ask.request_id,
                'why': str(answer),
                'decode': decode,
                'waited_ms': round(ask.waited_s * 1000),
                'index': self._context.view.index,
            },
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
