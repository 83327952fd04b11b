"""The task that follows one control host at a time."""

import asyncio
import logging
import random
import typing

from limpetroute.border import routes_update_body
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import routes_loader
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# A control host holds a call for WAIT_S while nothing changes. One that
# has not answered MARGIN_S after that is silent or gone; the next is
# asked. Together they stay well under the 2 s within which a change
# must be in force here.
WAIT_S = 0.5
MARGIN_S = 0.4
PAUSE_S = 0.05
# An answer that comes slowly, but comes, is not given up: asked for again
# elsewhere, it would begin anew. Answers are bounded, so this is long.
BODY_TIMEOUT_S = 3.0


class ControlWatch:
    """The task that follows one control host at a time.

    Parameters
    ----------
    view : FleetView
        Takes what is heard.
    http : Caller
        Makes the calls.
    urls : callable
        Returns the control hosts of the settings, which may change.
    host_id : str
        This host, as control hosts count it.
    quarantine : QuarantineClient
        Takes which requests are quarantined.
    on_leader : callable
        Told the address of the control host that leads.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        http: caller.Caller,
        urls: typing.Callable[[], typing.Sequence[str]],
        host_id: str,
        quarantine: quarantine_client.QuarantineClient,
        on_leader: typing.Callable[[str], None],
    ) -> None:
        self._on_leader = on_leader
        self._quarantine = quarantine
        self._view = view
        self._http = http
        self._settings_urls = urls
        self._host_id = host_id
        self._heard_urls: list[str] = []
        self._next = sum(host_id.encode())
        self._following = ''
        self._leader_url = ''
        self.last_received_s = 0.0
        self._asked_s = 0.0
        self._failed_asks = 0
        self.entry_hosts = 1
        self._task: asyncio.Task[None] | None = None
        self._loader = routes_loader.RoutesLoader(
            view=view, http=http, urls=self._known_urls, rng=random.Random()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(following={self._following!r})'

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()
        self._loader.stop()

    async def _run(self) -> None:
        while True:
            url = self._following or self._pick()
            if not url:
                await asyncio.sleep(PAUSE_S)
                continue
            self._asked_s = asyncio.get_running_loop().time()
            why_not = await self._ask(url)
            if not why_not:
                self._note_following(url)
                continue
            self._note_lost(url, why_not)
            await asyncio.sleep(PAUSE_S)

    def _pick(self) -> str:
        """Return the next host to try, the known ones before the seeds.

        Seeds may be stale, and what control hosts say of each other may
        be too: both lists are tried in turn until one answers.
        """
        urls = self._known_urls()
        if not urls:
            return ''
        self._next += 1
        return urls[self._next % len(urls)]

    def urls_leader_first(self) -> list[str]:
        """Return all control hosts, the one that leads first."""
        first = [self._leader_url] if self._leader_url else []
        return list(dict.fromkeys([*first, *self._known_urls()]))

    def _known_urls(self) -> list[str]:
        """Return all control hosts, the one that is followed first."""
        first = [self._following] if self._following else []
        return list(
            dict.fromkeys([*first, *self._heard_urls, *self._settings_urls()])
        )

    async def _ask(self, url: str) -> str:
        """Ask once; return why nothing was heard, or nothing."""
        got = await self._http.call(
            method='GET',
            url=(
                f'{url}/v1/watch?after={self._view.index}'
                f'&version={self._loader.version}'
                f'&held={self._view.routes.digest}'
                f'&wait_s={WAIT_S}&host={self._host_id}'
                f'&leader={self._leader_url}'
            ),
            timeout_s=WAIT_S + MARGIN_S,
            body_timeout_s=BODY_TIMEOUT_S,
            idle_timeout_s=MARGIN_S,
        )
        if isinstance(got, call_failed.CallFailed):
            return f'{got.kind.value} after {got.received_bytes} bytes'
        if not got.ok:
            return f'status {got.status}'
        try:
            body = got.json()
            in_touch = bool(body['in_touch'])
            if in_touch:
                is_newer = self._view.apply_runners(body)
                if body['routes'] is not None:
                    self._loader.notify(
                        routes_update_body.RoutesNoticeBody.model_validate(
                            body['routes']
                        )
                    )
                quarantined = body.get('quarantined')
                if is_newer and quarantined is not None:
                    self._quarantine.update(quarantined)
                self._leader_url = str(body['leader_url'])
                self._on_leader(self._leader_url)
                self._heard_urls = [str(one) for one in body['urls']]
                self.entry_hosts = max(1, int(body['entry_hosts']))
        except (ValueError, KeyError, TypeError) as exc:
            LOG.error(
                'control host answers with nonsense',
                extra={'url': url, 'reason': str(exc)},
            )
            return 'nonsense'
        if not in_touch:
            return 'it is out of touch'
        self.last_received_s = asyncio.get_running_loop().time()
        return ''

    def _note_following(self, url: str) -> None:
        self._failed_asks = 0
        if url == self._following:
            return
        LOG.info(
            'following a control host',
            extra={'url': url, 'index': self._view.index},
        )
        self._following = url

    def _note_lost(self, url: str, reason: str) -> None:
        """Write why a control host gave no news.

        Who hears of no host for long shows it by one line for each
        doubling of the calls that failed, not by one for each call.
        """
        self._failed_asks += 1
        if self._failed_asks.bit_count() == 1:
            took_s = asyncio.get_running_loop().time() - self._asked_s
            LOG.info(
                'lost the control host',
                extra={
                    'url': url,
                    'reason': reason,
                    'took_ms': round(took_s * 1000),
                    'failed_asks': self._failed_asks,
                    'silent_ms': self._silent_ms(),
                    'index': self._view.index,
                },
            )
        self._following = ''

    def _silent_ms(self) -> int | None:
        """Return how long nothing was heard; None from the start on."""
        if not self.last_received_s:
            return None
        silent_s = asyncio.get_running_loop().time() - self.last_received_s
        return round(silent_s * 1000)
