"""Fetches newer manifests from the control hosts."""

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

# A control host answers a long poll after LONG_POLL_S if the manifest
# has not changed. A poll without an answer times out SLACK_S later, and
# the watch polls the next control host. So a new manifest reaches every
# entry host within 2 s.
LONG_POLL_S = 1.0
SLACK_S = 0.5
RETRY_DELAY_S = 0.1
# A manifest that arrives slowly is not abandoned while bytes arrive. The
# download from another host would start from the beginning, and a large
# manifest might never come into force.
BODY_TIMEOUT_S = 30.0


class ManifestWatch:
    """Fetches each newer manifest by long polls of the control hosts.

    An older manifest never replaces a newer one.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the host.
    http : Caller
        HTTP client for the calls.
    on_manifest : callable
        Called with each newer manifest.
    hosts_ahead : callable
        Returns the addresses of entry hosts whose manifest has a higher
        number than the given one.
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
        self._url_index = 0
        self._confirmed = False
        self._last_contact_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        self.number = 0
        stored = self._file.load()
        if stored is not None:
            self._apply(stored)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(number={self.number!r})'

    def start(self) -> None:
        """Start the polls, if the settings name a control host."""
        if self._urls:
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop the polls."""
        if self._task is not None:
            self._task.cancel()

    def offer(self, body: manifest_module.ManifestBody) -> bool:
        """Apply a manifest if it is newer; return whether it was.

        A former leader or a late message may carry an older manifest,
        which would restore settings that an operator has replaced.
        """
        if body.number <= self.number:
            return False
        self._apply(body)
        return True

    def refuses_work(self, now_s: float) -> bool:
        """Return whether this host must refuse new requests.

        A host may miss a newer manifest if it reaches no control host
        that is in contact with a quorum. The setting ``when_isolated``
        says whether such a host refuses new requests.
        """
        if self._settings.when_isolated == 'serve_on' or not self._urls:
            return False
        if self._last_contact_s is None:
            return True
        return now_s - self._last_contact_s > self._settings.isolation_s

    def _apply(self, body: manifest_module.ManifestBody) -> None:
        self.number = body.number
        self._on_manifest(body)
        LOG.info('manifest %d in force', body.number)

    async def _run(self) -> None:
        while True:
            if await self._poll_control():
                continue
            self._url_index = (self._url_index + 1) % len(self._urls)
            await self._fetch_from_peers()
            await asyncio.sleep(RETRY_DELAY_S)

    async def _fetch_from_peers(self) -> None:
        """Fetch a newer manifest from another entry host.

        If a partition separates only this host from control, this host
        would serve by an old manifest while the other hosts serve by the
        new one. The other entry hosts have only accepted manifests, and
        their probes carry the manifest's number.
        """
        for url in self._hosts_ahead(self.number):
            reply = await self._http.call(
                method='GET',
                url=f'{url}/v1/peers/manifest',
                timeout_s=LONG_POLL_S + SLACK_S,
                body_timeout_s=BODY_TIMEOUT_S,
                idle_timeout_s=SLACK_S,
            )
            if isinstance(reply, call_failed.CallFailed) or not reply.ok:
                continue
            await self._process_reply(reply.body)
            return

    async def _poll_control(self) -> bool:
        """Poll a control host; return whether it reaches a quorum."""
        query = {
            'after': self.number,
            'wait_s': LONG_POLL_S if self._confirmed else 0,
            'host': self._settings.host_id,
            'number': self.number,
        }
        if not self._confirmed:
            # A follower may have an older manifest. After a start, a
            # host without a state folder cannot detect that, so the
            # first answer must be the leader's.
            query['sure'] = 1
        url = self._urls[self._url_index]
        reply = await self._http.call(
            method='GET',
            url=f'{url}/v1/manifest?{urllib.parse.urlencode(query)}',
            timeout_s=LONG_POLL_S + SLACK_S,
            body_timeout_s=BODY_TIMEOUT_S,
            idle_timeout_s=SLACK_S,
        )
        if isinstance(reply, call_failed.CallFailed) or not reply.ok:
            return False
        return await self._process_reply(reply.body)

    async def _process_reply(self, data: bytes) -> bool:
        """Apply a reply's manifest; return its ``in_touch``."""
        try:
            answer = json.loads(data)
            in_touch = bool(answer['in_touch'])
            manifest = answer['manifest']
            body = None
            if manifest is not None:
                body = errors.parse(
                    manifest_module.ManifestBody, json.dumps(manifest)
                )
        except (ValueError, KeyError, TypeError) as exc:
            LOG.warning('control sent no manifest: %s', exc)
            return False
        if in_touch:
            self._confirmed = True
            self._last_contact_s = asyncio.get_running_loop().time()
        if body is not None and body.number > self.number:
            # The manifest is stored before it comes into force. Otherwise
            # a restart could bring an older manifest back into force.
            await asyncio.to_thread(self._file.save, body)
            self.offer(body)
        return in_touch
