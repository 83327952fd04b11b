"""Fetches the routing configuration, in slices."""

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

# A control host has a slice at hand. One that sends nothing for so long
# is silent or gone; one that sends slowly is not.
SILENCE_S = 0.6
SLICE_TIMEOUT_S = 5.0
PAUSE_S = 0.05
LONGEST_PAUSE_S = 5.0
# Parts decoded in one go: some 5 ms on half a core.
PARTS_AT_ONCE = 100
HTTP_NOT_FOUND = 404


class _GoneError(Exception):
    """No control host has the version any more."""


class RoutesLoader:
    """Fetches the routing configuration, in slices.

    A configuration of thousands of routes takes seconds on a slow link.
    Fetched by one call with a deadline, it never came: given up shortly
    before its end and begun again, it filled the link for good, and
    callers' answers came late. Here each call is short, what came
    before one fails is kept, and half of the link is left to callers.

    Parameters
    ----------
    view : FleetView
        Holds the configuration.
    http : Caller
        Makes the calls.
    urls : callable
        Returns the control hosts, the preferred one first.
    rng : random.Random
        Keeps hosts that start together from fetching in step.
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
        self._told: routes_update_body.RoutesNoticeBody | None = None
        self._whole = False
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(told={self.version!r})'

    @property
    def version(self) -> int:
        """The newest version that this host has heard of."""
        held = self._view.routes.version
        return max(held, self._told.version if self._told else 0)

    def stop(self) -> None:
        """End; what was heard of and not fetched is heard of again."""
        self._told = None
        if self._task is not None:
            self._task.cancel()

    def notify(self, notice: routes_update_body.RoutesNoticeBody) -> None:
        """Take the news of a version; fetch what it does not bring."""
        if notice.version <= self.version:
            return
        self._told = notice
        if self._task is not None and not self._task.done():
            return
        update = notice.update
        if update is not None and self._starts_here(update):
            if self._take_update(update):
                return
        self._task = asyncio.create_task(self._run())

    def _starts_here(self, body: routes_update_body.RoutesUpdateBody) -> bool:
        """Return whether an update starts from what this host holds.

        One may not without a fault: the watch asked for it before the
        version that it starts from was replaced here. Then the way from
        the one held now is fetched.
        """
        return body.base in ('', self._view.routes.digest)

    def _take_update(self, body: routes_update_body.RoutesUpdateBody) -> bool:
        try:
            copy = self._view.routes.apply(body.to_update())
            self._view.apply_routes(copy)
        except ValueError as exc:
            self._note_unusable(str(exc))
            return False
        return True

    async def _run(self) -> None:
        """Fetch until what was heard of is in force.

        A document that cannot be used, as of another release, would
        otherwise be fetched over and over, and fill the link with it.
        """
        pause_s = PAUSE_S
        while True:
            told = self._told
            if told is None or told.version <= self._view.routes.version:
                return
            try:
                await self._load(told)
            except _GoneError:
                # The next answer of a control host names a newer one.
                self._told = None
                return
            except ValueError as exc:
                self._note_unusable(str(exc))
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    def _note_unusable(self, reason: str) -> None:
        """Have the whole configuration fetched, from nothing on."""
        LOG.error(
            'an update of the routes cannot be used',
            extra={'held': self._view.routes.version, 'reason': reason},
        )
        self._whole = True

    async def _load(self, told: routes_update_body.RoutesNoticeBody) -> None:
        """Fetch the way to a version, and take it."""
        begun_s = asyncio.get_running_loop().time()
        base = '' if self._whole else self._view.routes.digest
        self._whole = False
        text, slices = await self._fetch(base, told.digest)
        body = routes_update_body.RoutesUpdateBody.model_validate_json(text)
        update = body.to_update()
        copy = self._view.routes.apply(update)
        if copy.digest != told.digest:
            raise ValueError(f'leads to {copy.digest[:12]!r}')
        added = update.added
        for first in range(0, len(added), PARTS_AT_ONCE):
            self._view.prepare(added[first : first + PARTS_AT_ONCE])
            await asyncio.sleep(0)
        took_s = asyncio.get_running_loop().time() - begun_s
        LOG.info(
            'routes fetched',
            extra={
                'version': told.version,
                'held': self._view.routes.version,
                'whole': not body.base,
                'chars': len(text),
                'slices': slices,
                'took_ms': round(took_s * 1000),
            },
        )
        self._view.apply_routes(copy)

    async def _fetch(self, base: str, digest: str) -> tuple[str, int]:
        """Return an update's text, and in how many slices it came."""
        pieces: list[str] = []
        offset = 0
        missing: set[str] = set()
        while True:
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            got = await self._slice(base, digest, offset, missing)
            if got is None:
                await asyncio.sleep(PAUSE_S)
                continue
            if got.digest != digest or got.offset != offset or not got.text:
                raise ValueError('another slice than the one asked for')
            # The host may lack the base, and begin from nothing.
            base = got.base
            pieces.append(got.text)
            offset += len(got.text)
            if offset >= got.size:
                return ''.join(pieces), len(pieces)
            # As long a pause as the slice took leaves room for callers.
            took_s = loop.time() - begun_s
            await asyncio.sleep(took_s * self._rng.uniform(0.5, 1.5))

    async def _slice(
        self, base: str, digest: str, offset: int, missing: set[str]
    ) -> routes_update_body.RoutesSliceBody | None:
        """Ask one host that may have it; None where that failed."""
        urls = [url for url in self._urls() if url not in missing]
        if not urls:
            raise _GoneError
        url = urls[0] if self._rng.random() < 0.5 else self._rng.choice(urls)
        query = urllib.parse.urlencode(
            {'base': base, 'digest': digest, 'offset': offset}
        )
        got = await self._http.call(
            method='GET',
            url=f'{url}/v1/routes?{query}',
            timeout_s=SILENCE_S,
            body_timeout_s=SLICE_TIMEOUT_S,
            idle_timeout_s=SILENCE_S,
        )
        if isinstance(got, call_failed.CallFailed):
            reason = f'{got.kind.value} after {got.received_bytes} bytes'
            _note_missed(url, reason, offset)
            return None
        if got.status == HTTP_NOT_FOUND:
            missing.add(url)
        if not got.ok:
            _note_missed(url, f'status {got.status}', offset)
            return None
        return routes_update_body.RoutesSliceBody.model_validate_json(got.body)


def _note_missed(url: str, reason: str, offset: int) -> None:
    LOG.info(
        'a slice of the routes did not come',
        extra={'url': url, 'reason': reason, 'offset': offset},
    )
