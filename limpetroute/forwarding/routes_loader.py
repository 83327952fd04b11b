"""Fetches the routing configuration in slices."""

import asyncio
import logging
import random
import typing
import urllib.parse

from limpetroute.border import routes_update_body
from limpetroute.forwarding import fleet_view
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# A control host has each slice in memory, so a host that sends nothing
# for this long has failed. A host that sends slowly has not.
IDLE_TIMEOUT_S = 0.6
SLICE_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 5.0
# Fragments decoded before other tasks run: about 5 ms on half a core.
FRAGMENTS_PER_BATCH = 100
HTTP_NOT_FOUND = 404


class _VersionGoneError(Exception):
    """No control host holds the requested version any more."""


class RoutesLoader:
    """Fetches the routing configuration in slices.

    A configuration of thousands of routes takes seconds on a slow link.
    A single call with a deadline was cut off shortly before its end and
    started again, so it never completed, filled the link for good and
    delayed callers' answers. Therefore each call is short, the slices
    that arrived before a failed call are kept, and pauses between calls
    leave half of the link to callers.

    Parameters
    ----------
    view : FleetView
        Holds the configuration.
    http : Caller
        Makes the calls.
    urls : callable
        Returns the control hosts, the preferred one first.
    rng : random.Random
        Keeps hosts that start together from fetching in lockstep.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        http: caller.Caller,
        urls: typing.Callable[[], typing.Sequence[str]],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._http = http
        self._urls = urls
        self._rng = rng
        self._notice: routes_update_body.RoutesNoticeBody | None = None
        self._must_load_whole = False
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(version={self.version!r})'

    @property
    def version(self) -> int:
        """The newest version that is held or was announced.

        `routes_copy.NO_VERSION` if there is none.
        """
        held = self._view.routes.version
        return max(held, self._notice.version) if self._notice else held

    def stop(self) -> None:
        """Stop loading.

        A version that was not loaded has to be announced again.
        """
        self._notice = None
        if self._task is not None:
            self._task.cancel()

    def notify(self, notice: routes_update_body.RoutesNoticeBody) -> None:
        """Apply the update in a notice, or start to fetch its version."""
        if notice.version <= self.version:
            return
        self._notice = notice
        if self._task is not None and not self._task.done():
            return
        update = notice.update
        if update is not None and self._is_applicable(update):
            if self._apply_update(update):
                return
        self._task = asyncio.create_task(self._run())

    def _is_applicable(
        self, body: routes_update_body.RoutesUpdateBody
    ) -> bool:
        """Return whether an update applies to the held configuration.

        An update with another base is not an error: the watch requested
        it before this host replaced that base. In this case an update
        from the held configuration is fetched.
        """
        return body.base in ('', self._view.routes.digest)

    def _apply_update(self, body: routes_update_body.RoutesUpdateBody) -> bool:
        try:
            copy = self._view.routes.apply(body.to_update())
            self._view.apply_routes(copy)
        except ValueError as exc:
            self._log_unusable(str(exc))
            return False
        return True

    async def _run(self) -> None:
        """Fetch until the newest announced version is in force.

        The delay doubles after each configuration that cannot be used,
        such as one of another release. Without the delay, repeated
        fetches would fill the link.
        """
        delay_s = RETRY_DELAY_S
        while True:
            notice = self._notice
            if notice is None or notice.version <= self._view.routes.version:
                return
            try:
                await self._load(notice)
            except _VersionGoneError:
                # The control hosts' next response names a newer version.
                self._notice = None
                return
            except ValueError as exc:
                self._log_unusable(str(exc))
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    def _log_unusable(self, reason: str) -> None:
        """Log an unusable update; the next fetch loads everything."""
        LOG.error(
            'unusable update of the routes',
            extra={'held': self._view.routes.version, 'reason': reason},
        )
        self._must_load_whole = True

    async def _load(self, notice: routes_update_body.RoutesNoticeBody) -> None:
        """Fetch the update to a version and put the version in force."""
        started_s = asyncio.get_running_loop().time()
        base = '' if self._must_load_whole else self._view.routes.digest
        self._must_load_whole = False
        text, slices = await self._fetch(base, notice.digest)
        body = routes_update_body.RoutesUpdateBody.model_validate_json(text)
        update = body.to_update()
        copy = self._view.routes.apply(update)
        if copy.digest != notice.digest:
            raise ValueError(f'unexpected digest {copy.digest[:12]!r}')
        added = update.added
        for first in range(0, len(added), FRAGMENTS_PER_BATCH):
            self._view.prepare(added[first : first + FRAGMENTS_PER_BATCH])
            await asyncio.sleep(0)
        took_s = asyncio.get_running_loop().time() - started_s
        LOG.info(
            'routes fetched',
            extra={
                'version': notice.version,
                'held': self._view.routes.version,
                'whole': not body.base,
                'chars': len(text),
                'slices': slices,
                'took_ms': round(took_s * 1000),
            },
        )
        self._view.apply_routes(copy)

    async def _fetch(self, base: str, digest: str) -> tuple[str, int]:
        """Return the text of an update and the number of its slices."""
        pieces: list[str] = []
        offset = 0
        missing: set[str] = set()
        while True:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            reply = await self._fetch_slice(base, digest, offset, missing)
            if reply is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if (
                reply.digest != digest
                or reply.offset != offset
                or not reply.text
            ):
                raise ValueError('not the requested slice')
            # A host that lacks the base sends the whole configuration.
            base = reply.base
            pieces.append(reply.text)
            offset += len(reply.text)
            if offset >= reply.size:
                return ''.join(pieces), len(pieces)
            # Pausing for as long as the slice took leaves half of the
            # link to callers.
            took_s = loop.time() - started_s
            await asyncio.sleep(took_s * self._rng.uniform(0.5, 1.5))

    async def _fetch_slice(
        self, base: str, digest: str, offset: int, missing: set[str]
    ) -> routes_update_body.RoutesSliceBody | None:
        """Fetch a slice from one host; return None on failure.

        ``missing`` collects the hosts that do not hold the version.

        Raises
        ------
        _VersionGoneError
            If no control host is left.
        """
        urls = [url for url in self._urls() if url not in missing]
        if not urls:
            raise _VersionGoneError
        url = urls[0] if self._rng.random() < 0.5 else self._rng.choice(urls)
        query = urllib.parse.urlencode(
            {'base': base, 'digest': digest, 'offset': offset}
        )
        reply = await self._http.call(
            method='GET',
            url=f'{url}/v1/routes?{query}',
            timeout_s=IDLE_TIMEOUT_S,
            body_timeout_s=SLICE_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        if isinstance(reply, call_failed.CallFailed):
            reason = f'{reply.kind.value} after {reply.received_bytes} bytes'
            _log_missed_slice(url, reason, offset)
            return None
        if reply.status == HTTP_NOT_FOUND:
            missing.add(url)
        if not reply.ok:
            _log_missed_slice(url, f'status {reply.status}', offset)
            return None
        return routes_update_body.RoutesSliceBody.model_validate_json(
            reply.body
        )


def _log_missed_slice(url: str, reason: str, offset: int) -> None:
    LOG.info(
        'could not fetch a slice of the routes',
        extra={'url': url, 'reason': reason, 'offset': offset},
    )
