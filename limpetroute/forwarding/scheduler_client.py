"""Requests placements of streams from the leading control host."""

import asyncio
import dataclasses
import itertools
import logging

from limpetroute.border import forecast_header
from limpetroute.border import hints_header
from limpetroute.border import runners_header
from limpetroute.border import stream_version_header
from limpetroute.forwarding import leader_channel
from limpetroute.routing import placement
from limpetroute.routing import placement_hints
from limpetroute.routing import stream_times

LOG = logging.getLogger(__name__)

# The leader holds a placement request until there is a free place or the
# place would come too late. A leader that does not respond within this
# time after that counts as failed, and this host places the stream
# locally.
RESPONSE_MARGIN_S = 0.3
NOTIFY_TIMEOUT_S = 0.5
HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerUnavailable:
    """The leader gave no usable response to a placement request."""

    reason: str


PlacementResult = (
    placement.Placement | placement.Rejection | SchedulerUnavailable
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _HeldPlacement:
    assigned: placement.Placement
    request: placement.PlacementRequest
    since_s: float


class SchedulerClient:
    """Requests placements of streams from the leading control host.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    """

    def __init__(self, *, channel: leader_channel.LeaderChannel) -> None:
        self._channel = channel
        self._held: dict[str, _HeldPlacement] = {}
        self._attempts = itertools.count(1)
        self._must_report_held = False
        channel.subscribe(self._start_term)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(channel={self._channel!r})'

    def _start_term(self, before: str) -> None:
        """Report the held placements to a new leader."""
        LOG.info(
            'scheduler leader changed',
            extra={
                'url': self._channel.url,
                'before': before,
                'held': len(self._held),
            },
        )
        if self._channel.url and self._held:
            self._channel.run_in_background(self._report_held())

    @property
    def leader_url(self) -> str:
        """Address of the present leader; empty if none is known."""
        return self._channel.url

    async def request_placement(
        self,
        request: placement.PlacementRequest,
        hints: placement_hints.PlacementHints | None = None,
    ) -> PlacementResult:
        """Return the leader's decision about a stream.

        The call lasts until a place is free or the leader rejects the
        request.

        Parameters
        ----------
        request : PlacementRequest
            The stream.
        hints : PlacementHints or None
            What only this host knows about it.
        """
        unavailable = self._channel.unavailable
        if unavailable is not None:
            return SchedulerUnavailable(reason=unavailable.reason)
        try:
            reply = await self._channel.call(
                '/v1/places',
                placement.to_body(request),
                headers=hints_header.encode(hints) if hints else None,
                timeout_s=_max_wait_s(request) + RESPONSE_MARGIN_S,
            )
        except asyncio.CancelledError:
            # The leader may already have reserved a place, and the
            # response with that place is lost with this call. So any
            # place of this attempt is released.
            self.release(
                request.service,
                placement.Release(
                    request_id=request.request_id,
                    attempt=request.attempt,
                ),
                only_if_held=False,
            )
            raise
        if isinstance(reply, leader_channel.LeaderUnavailable):
            return SchedulerUnavailable(reason=reply.reason)
        try:
            if reply.ok and self._must_report_held:
                self._must_report_held = False
                self._channel.run_in_background(self._report_held())
            if reply.status == HTTP_UNAVAILABLE:
                return placement.Rejection(
                    **reply.json(),
                    is_unknown_stream=(
                        stream_version_header.UNKNOWN in reply.headers
                    ),
                )
            if not reply.ok:
                return SchedulerUnavailable(reason=f'status {reply.status}')
            assigned = placement.Placement(
                **reply.json(),
                forecast=forecast_header.decode(
                    reply.headers.get(forecast_header.NAME)
                ),
                runners=runners_header.decode(
                    reply.headers.get(runners_header.NAME)
                ),
                version=stream_version_header.decode(
                    reply.headers.get(stream_version_header.NAME)
                ),
            )
        except (ValueError, TypeError) as exc:
            return SchedulerUnavailable(reason=str(exc))
        self.note_placement(assigned, request)
        return assigned

    def note_placement(
        self,
        assigned: placement.Placement,
        request: placement.PlacementRequest,
    ) -> None:
        """Record a placement that a stream of this host holds."""
        self._held[assigned.request_id] = _HeldPlacement(
            assigned=assigned, request=request, since_s=_now_s()
        )

    def note_local_placement(
        self,
        assigned: placement.Placement,
        request: placement.PlacementRequest,
    ) -> None:
        """Record a placement that this host chose without the leader.

        All held placements are reported as soon as the leader responds
        again. A leader that does not count local placements overfills
        the memory of their runners for as long as those streams last.
        """
        self._must_report_held = True
        self.note_placement(assigned, request)

    def next_attempt(self) -> int:
        """Return a number that is unique among placement requests."""
        return next(self._attempts)

    def release(
        self,
        service: str,
        release: placement.Release,
        *,
        only_if_held: bool = True,
    ) -> None:
        """Release a placement in the background.

        Parameters
        ----------
        service : str
            The stream's service.
        release : Release
            The placement, with what was measured of its stream.
        only_if_held : bool
            Whether to skip the release if this host has no record of the
            placement.
        """
        if self._held.pop(release.request_id, None) is None and only_if_held:
            return
        if self._channel.url:
            self._channel.run_in_background(
                self._send_release(service, release)
            )

    def note_prefill_done(
        self, service: str, request_id: str, attempt: int
    ) -> None:
        """Report in the background that a prefill runner is done."""
        if self._channel.url and request_id in self._held:
            self._channel.run_in_background(
                self._send_prefill_done(service, request_id, attempt)
            )

    def note_first_event(
        self, service: str, request_id: str, attempt: int, took_s: float
    ) -> None:
        """Report in the background the first event of a decode runner."""
        if self._channel.url and request_id in self._held:
            self._channel.run_in_background(
                self._send_prefill_done(
                    service,
                    request_id,
                    attempt,
                    path='/v1/places/first-event',
                    took_s=took_s,
                )
            )

    async def _send_prefill_done(
        self,
        service: str,
        request_id: str,
        attempt: int,
        *,
        path: str = '/v1/places/read',
        **extra_fields: float,
    ) -> None:
        reply = await self._channel.call(
            path,
            {
                'service': service,
                'request_id': request_id,
                'attempt': attempt,
                **extra_fields,
            },
            timeout_s=NOTIFY_TIMEOUT_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable) or not reply.ok:
            LOG.info(
                'could not report a finished prefill, it will expire',
                extra={'request': request_id},
            )

    async def _send_release(
        self, service: str, release: placement.Release
    ) -> None:
        reply = await self._channel.call(
            '/v1/places/end',
            {'service': service, **dataclasses.asdict(release)},
            timeout_s=NOTIFY_TIMEOUT_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable) or not reply.ok:
            LOG.info(
                'could not release a placement, it will expire',
                extra={'request': release.request_id},
            )

    async def _report_held(self) -> None:
        now_s = _now_s()
        held = []
        for entry in self._held.values():
            waited_s = entry.request.waited_s + now_s - entry.since_s
            request = dataclasses.replace(entry.request, waited_s=waited_s)
            held.append(
                {
                    'decode_id': entry.assigned.decode_id,
                    'prefill_id': entry.assigned.prefill_id,
                    'asked': placement.to_body(request),
                }
            )
        reply = await self._channel.call(
            '/v1/places/held',
            {'held': held},
            timeout_s=NOTIFY_TIMEOUT_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable) or not reply.ok:
            # Report again after the leader's next successful response.
            self._must_report_held = True
            LOG.info(
                'could not report held placements to the leader',
                extra={'url': self._channel.url, 'held': len(held)},
            )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _max_wait_s(request: placement.PlacementRequest) -> float:
    """Return how long the leader may hold a placement request."""
    return max(0.0, stream_times.max_wait_s(request) - request.waited_s)
