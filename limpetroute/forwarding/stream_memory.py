"""The software versions at which streams of this host began."""

import asyncio
import dataclasses
import itertools
import logging
import typing

from limpetroute.border import stream_bodies
from limpetroute.forwarding import leader_channel
from limpetroute.routing import stream_origins

LOG = logging.getLogger(__name__)

MAX_STREAMS = 10_000
REPORT_TIMEOUT_S = 0.5
# Time after which a report that failed is sent again; it doubles each time.
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 2.4
HTTP_NOT_FOUND = 404


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Unreported:
    version: str
    expires_s: float


class StreamMemory:
    """The software versions at which streams of this host began.

    A new leader is sent all of them; later ones are sent if the leader
    cannot know them from its placements.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    """

    def __init__(self, *, channel: leader_channel.LeaderChannel) -> None:
        self._channel = channel
        self._origins = stream_origins.StreamOrigins(max_entries=MAX_STREAMS)
        self._unreported: dict[stream_origins.StreamKey, _Unreported] = {}
        self._takes_reports = True
        self._task: asyncio.Task[None] | None = None
        channel.subscribe(self._start_term)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(origins={self._origins!r})'

    def note(
        self,
        key: stream_origins.StreamKey,
        version: str,
        *,
        remaining_s: float,
        leader_knows: bool,
    ) -> None:
        """Note the version of the runner that sent the first event.

        Parameters
        ----------
        key : StreamKey
            The stream.
        version : str
            The software version.
        remaining_s : float
            Time that the caller has left.
        leader_knows : bool
            Whether the present leader knows the version already.
        """
        now_s = _now_s()
        expires_s = now_s + remaining_s + stream_origins.KEPT_AFTER_DEADLINE_S
        self._origins.note(key, version, expires_s, now_s)
        if not leader_knows:
            self._add_unreported(key, version, expires_s)
            self._schedule_report()

    def find(self, key: stream_origins.StreamKey) -> str | None:
        """Return a stream's version, or None if it is not known here."""
        return self._origins.find(key, _now_s())

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def _start_term(self, before: str) -> None:
        """Report all streams to a new leader."""
        self.stop()
        self._task = None
        self._takes_reports = True
        now_s = _now_s()
        for one in self._origins.entries(now_s):
            self._add_unreported(one.key, one.version, now_s + one.remaining_s)
        self._schedule_report()

    def _add_unreported(
        self, key: stream_origins.StreamKey, version: str, expires_s: float
    ) -> None:
        if not self._takes_reports:
            return
        self._unreported[key] = _Unreported(
            version=version, expires_s=expires_s
        )
        if len(self._unreported) > MAX_STREAMS:
            del self._unreported[next(iter(self._unreported))]

    def _schedule_report(self) -> None:
        if not self._channel.url or not self._unreported:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._report_all())

    async def _report_all(self) -> None:
        """Report until nothing is left."""
        delay_s = RETRY_DELAY_S
        while self._unreported:
            if await self._report():
                delay_s = RETRY_DELAY_S
                continue
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _report(self) -> bool:
        """Report some streams; return whether the leader has responded."""
        unavailable = self._channel.unavailable
        if unavailable is not None:
            return False
        due = dict(
            itertools.islice(
                self._unreported.items(), stream_bodies.MAX_STREAMS
            )
        )
        reply = await self._channel.call(
            '/v1/streams', _to_body(due, _now_s()), timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(reply, leader_channel.LeaderUnavailable):
            self._log_failure(reply.reason)
            return False
        if reply.status == HTTP_NOT_FOUND:
            LOG.info(
                'the leader is of a release that keeps no versions',
                extra={'url': self._channel.url},
            )
            self._takes_reports = False
            self._unreported.clear()
            return True
        if not reply.ok:
            self._log_failure(f'status {reply.status}')
            return False
        for key, one in due.items():
            # A note that was made meanwhile is still to be reported.
            if self._unreported.get(key) is one:
                del self._unreported[key]
        return True

    def _log_failure(self, reason: str) -> None:
        LOG.info(
            'could not report streams to the leader',
            extra={
                'url': self._channel.url,
                'reason': reason,
                'streams': len(self._unreported),
            },
        )


def _to_body(
    due: typing.Mapping[stream_origins.StreamKey, _Unreported], now_s: float
) -> dict[str, typing.Any]:
    """Return the body of a report; expired streams are left out."""
    return stream_bodies.to_body(
        stream_origins.StreamOrigin(
            key=key, version=one.version, remaining_s=one.expires_s - now_s
        )
        for key, one in due.items()
        if one.expires_s > now_s
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
