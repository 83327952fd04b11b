"""Follows one control host at a time for updates."""

import asyncio
import logging
import random
import typing

from limpetroute.border import routes_update_body
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import routes_loader
from limpetroute.routing import routes_copy
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# A control host holds a request for LONG_POLL_S while nothing changes. A
# host that has not responded RESPONSE_MARGIN_S after that counts as
# failed, and the next host is tried. The sum of both times stays well
# below the 2 s within which a change must be in force here.
LONG_POLL_S = 0.5
RESPONSE_MARGIN_S = 0.4
RETRY_DELAY_S = 0.05
# A slow response that makes progress is not abandoned, because another
# control host would send it again from the start. The size of responses
# is bounded, so this timeout can be long.
BODY_TIMEOUT_S = 3.0


class ControlWatch:
    """Follows one control host at a time for updates.

    Parameters
    ----------
    view : FleetView
        Receives the runners and routes.
    http : Caller
        Makes the calls.
    urls : callable
        Returns the control hosts of the settings, which may change.
    host_id : str
        Identity under which control hosts count this host.
    quarantine : QuarantineClient
        Receives the quarantined requests.
    on_leader : callable
        Called with the address of the leading control host and its term; the
        term is 0 if a control host of an earlier release leaves it out.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        http: caller.Caller,
        urls: typing.Callable[[], typing.Sequence[str]],
        host_id: str,
        quarantine: quarantine_client.QuarantineClient,
        on_leader: typing.Callable[[str, int], None],
    ) -> None:
        self._on_leader = on_leader
        self._quarantine = quarantine
        self._view = view
        self._http = http
        self._seed_urls = urls
        self._host_id = host_id
        self._received_urls: list[str] = []
        self._next_index = sum(host_id.encode())
        self._following = ''
        self._leader_url = ''
        self._leader_term = 0
        self.last_received_s = 0.0
        self._request_started_s = 0.0
        self._failed_requests = 0
        self.entry_hosts = 1
        self._task: asyncio.Task[None] | None = None
        self._loader = routes_loader.RoutesLoader(
            view=view, http=http, urls=self._known_urls, rng=random.Random()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(following={self._following!r})'

    def start(self) -> None:
        """Start to follow control hosts."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop following and loading routes."""
        if self._task is not None:
            self._task.cancel()
        self._loader.stop()

    async def _run(self) -> None:
        while True:
            url = self._following or self._next_url()
            if not url:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._request_started_s = asyncio.get_running_loop().time()
            failure = await self._poll(url)
            if not failure:
                self._note_following(url)
                continue
            self._stop_following(url, failure)
            await asyncio.sleep(RETRY_DELAY_S)

    def _next_url(self) -> str:
        """Return the next control host to try, or an empty string.

        Both the seeds and the addresses that control hosts send may be
        stale, so all of them are tried in turn until a host responds.
        """
        urls = self._known_urls()
        if not urls:
            return ''
        self._next_index += 1
        return urls[self._next_index % len(urls)]

    def urls_leader_first(self) -> list[str]:
        """Return all control hosts, the leader first."""
        preferred = [self._leader_url] if self._leader_url else []
        return list(dict.fromkeys([*preferred, *self._known_urls()]))

    def _known_urls(self) -> list[str]:
        """Return all control hosts, the followed one first."""
        preferred = [self._following] if self._following else []
        return list(
            dict.fromkeys(
                [*preferred, *self._received_urls, *self._seed_urls()]
            )
        )

    async def _poll(self, url: str) -> str:
        """Request updates once; return an error or an empty string."""
        version = self._loader.version
        # Earlier releases read an empty parameter as 0, and no negative one.
        held = '' if version == routes_copy.NO_VERSION else str(version)
        reply = await self._http.call(
            method='GET',
            url=(
                f'{url}/v1/watch?after={self._view.index}'
                f'&version={held}'
                f'&held={self._view.routes.digest}'
                f'&wait_s={LONG_POLL_S}&host={self._host_id}'
                f'&leader={self._leader_url}'
                f'&term={self._leader_term}'
            ),
            timeout_s=LONG_POLL_S + RESPONSE_MARGIN_S,
            body_timeout_s=BODY_TIMEOUT_S,
            idle_timeout_s=RESPONSE_MARGIN_S,
        )
        if isinstance(reply, call_failed.CallFailed):
            return f'{reply.kind.value} after {reply.received_bytes} bytes'
        if not reply.ok:
            return f'status {reply.status}'
        try:
            body = reply.json()
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
                self._leader_term = int(body.get('leader_term', 0))
                self._on_leader(self._leader_url, self._leader_term)
                self._received_urls = [str(one) for one in body['urls']]
                self.entry_hosts = max(1, int(body['entry_hosts']))
        except (ValueError, KeyError, TypeError) as exc:
            LOG.error(
                'invalid response of a control host',
                extra={'url': url, 'reason': str(exc)},
            )
            return 'nonsense'
        if not in_touch:
            return 'out of touch with its group'
        self.last_received_s = asyncio.get_running_loop().time()
        return ''

    def _note_following(self, url: str) -> None:
        self._failed_requests = 0
        if url == self._following:
            return
        LOG.info(
            'following a control host',
            extra={'url': url, 'index': self._view.index},
        )
        self._following = url

    def _stop_following(self, url: str, reason: str) -> None:
        """Leave a control host and log why the request to it failed.

        During a long outage there is one log line for each doubling of
        the failed requests, not one for each request.
        """
        self._failed_requests += 1
        if self._failed_requests.bit_count() == 1:
            took_s = (
                asyncio.get_running_loop().time() - self._request_started_s
            )
            LOG.info(
                'lost the control host',
                extra={
                    'url': url,
                    'reason': reason,
                    'took_ms': round(took_s * 1000),
                    'failed_asks': self._failed_requests,
                    'silent_ms': self._silence_ms(),
                    'index': self._view.index,
                },
            )
        self._following = ''

    def _silence_ms(self) -> int | None:
        """Return the time since the last update, None before the first."""
        if not self.last_received_s:
            return None
        silence_s = asyncio.get_running_loop().time() - self.last_received_s
        return round(silence_s * 1000)
