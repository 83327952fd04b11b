"""Asks the leading control host for streams' places."""

import asyncio
import dataclasses
import itertools
import logging
import typing

from limpetroute.border import forecast_header
from limpetroute.routing import placement
from limpetroute.routing import stream_times
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# The leader holds a call while there is no place, for as long as one is
# worth giving. Where nothing comes for this much longer it is gone, and
# this host decides for itself.
ASK_MARGIN_S = 0.3
# Control hosts are some milliseconds away. One that answers neither try
# to connect is cut off; until it is heard to lead again, or for this
# long, it is not tried: each try costs a stream a quarter second.
CONNECT_TRIES_S = (0.1, 0.15)
UNREACHABLE_S = 1.0
END_TIMEOUT_S = 0.5
HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerUnavailable:
    """No leader could be asked."""

    reason: str


PlacementResult = (
    placement.Placement | placement.Rejection | SchedulerUnavailable
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _HeldPlace:
    place: placement.Placement
    ask: placement.PlacementRequest
    since_s: float


class SchedulerClient:
    """Asks the leading control host for streams' places.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    """

    def __init__(self, *, http: caller.Caller) -> None:
        self._http = http
        self._leader_url = ''
        self._unreachable_until_s = 0.0
        self._held: dict[str, _HeldPlace] = {}
        self._attempts = itertools.count(1)
        self._untold = False
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(leader_url={self._leader_url!r})'

    def follow(self, leader_url: str) -> None:
        """Take note of who leads, and tell a new leader what is held."""
        if leader_url == self._leader_url:
            return
        LOG.info(
            'places are given by',
            extra={
                'url': leader_url,
                'before': self._leader_url,
                'held': len(self._held),
            },
        )
        self._leader_url = leader_url
        self._unreachable_until_s = 0.0
        if leader_url and self._held:
            self._aside(self._tell_held())

    async def request_placement(
        self, request_placement: placement.PlacementRequest
    ) -> PlacementResult:
        """Return a stream's place, once there is one."""
        if not self._leader_url:
            return SchedulerUnavailable(reason='no leader is known')
        if _now_s() < self._unreachable_until_s:
            return SchedulerUnavailable(
                reason='the leader could not be reached'
            )
        try:
            got = await self._http.call(
                method='POST',
                url=f'{self._leader_url}/v1/places',
                body=dataclasses.asdict(request_placement),
                timeout_s=_answer_due_s(request_placement) + ASK_MARGIN_S,
                connect_tries_s=CONNECT_TRIES_S,
            )
        except asyncio.CancelledError:
            # The place may have been given just now; the answer that
            # names it is lost with this call.
            self.release(
                request_placement.service,
                placement.Release(
                    request_id=request_placement.request_id,
                    attempt=request_placement.attempt,
                ),
                known=False,
            )
            raise
        if isinstance(got, call_failed.CallFailed):
            if not got.sent:
                self._unreachable_until_s = _now_s() + UNREACHABLE_S
            return SchedulerUnavailable(reason=f'the leader: {got.kind.value}')
        try:
            if got.ok and self._untold:
                self._untold = False
                self._aside(self._tell_held())
            if got.status == HTTP_UNAVAILABLE:
                return placement.Rejection(**got.json())
            if not got.ok:
                return SchedulerUnavailable(reason=f'status {got.status}')
            place = placement.Placement(
                **got.json(),
                forecast=forecast_header.decode(
                    got.headers.get(forecast_header.NAME)
                ),
            )
        except (ValueError, TypeError) as exc:
            return SchedulerUnavailable(reason=str(exc))
        self.note_placement(place, request_placement)
        return place

    def note_placement(
        self, place: placement.Placement, ask: placement.PlacementRequest
    ) -> None:
        """Take note of a place that this host holds."""
        self._held[place.request_id] = _HeldPlace(
            place=place, ask=ask, since_s=_now_s()
        )

    def note_local_placement(
        self, place: placement.Placement, ask: placement.PlacementRequest
    ) -> None:
        """Take note of a place that this host gave itself.

        The leader hears of it once it answers again: counting without
        what was given in its absence, it fills runners beyond their
        memory for as long as those streams last.
        """
        self._untold = True
        self.note_placement(place, ask)

    def next_attempt(self) -> int:
        """Return a number that tells one ask for a place from others."""
        return next(self._attempts)

    def release(
        self, service: str, end: placement.Release, *, known: bool = True
    ) -> None:
        """Give a place back; nobody waits for that."""
        if self._held.pop(end.request_id, None) is None and known:
            return
        if self._leader_url:
            self._aside(self._tell_end(service, end))

    def note_prefill_done(
        self, service: str, request_id: str, attempt: int
    ) -> None:
        """Tell that a prompt was read apart; nobody waits for that."""
        if self._leader_url and request_id in self._held:
            self._aside(self._tell_read(service, request_id, attempt))

    def note_first_event(
        self, service: str, request_id: str, attempt: int, took_s: float
    ) -> None:
        """Tell that a decode runner has read a prompt itself."""
        if self._leader_url and request_id in self._held:
            self._aside(
                self._tell_read(
                    service,
                    request_id,
                    attempt,
                    path='/v1/places/first-event',
                    took_s=took_s,
                )
            )

    async def _tell_read(
        self,
        service: str,
        request_id: str,
        attempt: int,
        *,
        path: str = '/v1/places/read',
        **more: float,
    ) -> None:
        got = await self._http.call(
            method='POST',
            url=f'{self._leader_url}{path}',
            body={
                'service': service,
                'request_id': request_id,
                'attempt': attempt,
                **more,
            },
            timeout_s=END_TIMEOUT_S,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            LOG.info(
                'a reading counts as queued until it lapses',
                extra={'request': request_id},
            )

    async def _tell_end(self, service: str, end: placement.Release) -> None:
        got = await self._http.call(
            method='POST',
            url=f'{self._leader_url}/v1/places/end',
            body={'service': service, **dataclasses.asdict(end)},
            timeout_s=END_TIMEOUT_S,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            LOG.info(
                'a place lapses by itself',
                extra={'request': end.request_id},
            )

    async def _tell_held(self) -> None:
        now_s = _now_s()
        held = []
        for one in self._held.values():
            waited_s = one.ask.waited_s + now_s - one.since_s
            asked = dataclasses.replace(one.ask, waited_s=waited_s)
            held.append(
                {
                    'decode_id': one.place.decode_id,
                    'prefill_id': one.place.prefill_id,
                    'asked': dataclasses.asdict(asked),
                }
            )
        got = await self._http.call(
            method='POST',
            url=f'{self._leader_url}/v1/places/held',
            body={'held': held},
            timeout_s=END_TIMEOUT_S,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            # Told with the next answer of the leader.
            self._untold = True
            LOG.info(
                'the leader was not told of the streams here',
                extra={'url': self._leader_url, 'held': len(held)},
            )

    def _aside(self, work: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _answer_due_s(ask: placement.PlacementRequest) -> float:
    """Return how long the leader may hold this call."""
    return max(0.0, stream_times.max_wait_s(ask) - ask.waited_s)
