"""Brings each manifest from control to this host, forward only."""

import asyncio
import json
import logging
import typing
import urllib.parse

from limpetroute.border import entry_settings
from limpetroute.border import errors
from limpetroute.border import manifest as manifest_module
from limpetroute.entry.manifests import manifest_file
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# A call is held this long while nothing changes. A connection that has
# gone silent is noticed SLACK_S later and another host is asked, which
# keeps a manifest within 2 s of every host.
HOLD_S = 1.0
SLACK_S = 0.5
PAUSE_S = 0.1
# A manifest that comes slowly, but comes, is not given up: asked for again
# elsewhere, it would begin anew, and a large one never come in force.
BODY_TIMEOUT_S = 30.0


class ManifestWatch:
    """Brings each manifest from control to this host, forward only.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the host.
    http : Caller
        Makes the calls.
    on_manifest : callable
        Takes each newer manifest.
    hosts_ahead : callable
        Gives the addresses of entry hosts that have a newer manifest
        than a number.
    """

    def __init__(
        self,
        *,
        settings: entry_settings.EntrySettings,
        http: caller.Caller,
        on_manifest: typing.Callable[[manifest_module.ManifestBody], None],
        hosts_ahead: typing.Callable[[int], list[str]] = lambda number: [],
    ) -> None:
        self._settings = settings
        self._http = http
        self._on_manifest = on_manifest
        self._hosts_ahead = hosts_ahead
        self._file = manifest_file.ManifestFile(folder=settings.state_dir)
        self._urls = [url.rstrip('/') for url in settings.control_urls]
        self._place = 0
        self._learned = False
        self._last_contact_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        self.number = 0
        kept = self._file.load()
        if kept is not None:
            self._take(kept)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(number={self.number!r})'

    def start(self) -> None:
        """Begin to watch, if there is a control host to ask."""
        if self._urls:
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    def offer(self, body: manifest_module.ManifestBody) -> bool:
        """Take a manifest from anywhere; return whether it is newer.

        An old leader or a late message may offer an older one. Taken,
        it would bring back what an operator has replaced.
        """
        if body.number <= self.number:
            return False
        self._take(body)
        return True

    def refuses_work(self, now_s: float) -> bool:
        """Return whether this host may not take new work.

        Only by the setting ``when_isolated``: a host that hears no
        control host in touch with a quorum may miss a newer manifest.
        """
        if self._settings.when_isolated == 'serve_on' or not self._urls:
            return False
        if self._last_contact_s is None:
            return True
        return now_s - self._last_contact_s > self._settings.isolation_s

    def _take(self, body: manifest_module.ManifestBody) -> None:
        self.number = body.number
        self._on_manifest(body)
        LOG.info('manifest %d in force', body.number)

    async def _run(self) -> None:
        while True:
            if await self._look():
                continue
            self._place = (self._place + 1) % len(self._urls)
            await self._look_at_peers()
            await asyncio.sleep(PAUSE_S)

    async def _look_at_peers(self) -> None:
        """Take a newer manifest from an entry host.

        A host that a partition cuts off from control alone would go on
        with an old manifest for as long as it lasts, while callers at
        the other hosts are served by the new one. Its peers hold only
        accepted manifests, and tell their numbers with each probe.
        """
        for url in self._hosts_ahead(self.number):
            got = await self._http.call(
                method='GET',
                url=f'{url}/v1/peers/manifest',
                timeout_s=HOLD_S + SLACK_S,
                body_timeout_s=BODY_TIMEOUT_S,
                idle_timeout_s=SLACK_S,
            )
            if isinstance(got, call_failed.CallFailed) or not got.ok:
                continue
            await self._read(got.body)
            return

    async def _look(self) -> bool:
        query = {
            'after': self.number,
            'wait_s': HOLD_S if self._learned else 0,
            'host': self._settings.host_id,
            'number': self.number,
        }
        if not self._learned:
            # A follower may lag; after a start only the leader's word
            # keeps a host without a state folder from an older one.
            query['sure'] = 1
        url = self._urls[self._place]
        got = await self._http.call(
            method='GET',
            url=f'{url}/v1/manifest?{urllib.parse.urlencode(query)}',
            timeout_s=HOLD_S + SLACK_S,
            body_timeout_s=BODY_TIMEOUT_S,
            idle_timeout_s=SLACK_S,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            return False
        return await self._read(got.body)

    async def _read(self, data: bytes) -> bool:
        try:
            answer = json.loads(data)
            in_touch = bool(answer['in_touch'])
            text = answer['manifest']
            body = None
            if text is not None:
                body = errors.parse(
                    manifest_module.ManifestBody, json.dumps(text)
                )
        except (ValueError, KeyError, TypeError) as exc:
            LOG.warning('control sent no manifest: %s', exc)
            return False
        if in_touch:
            self._learned = True
            self._last_contact_s = asyncio.get_running_loop().time()
        if body is not None and body.number > self.number:
            # Kept first: in force and then lost in a restart, it would
            # have gone back.
            await asyncio.to_thread(self._file.save, body)
            self.offer(body)
        return in_touch
