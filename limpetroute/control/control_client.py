"""A client that finds the leader of the control hosts."""

import asyncio
import dataclasses
import typing

from limpetroute.wire import call_failed
from limpetroute.wire import caller

ATTEMPT_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.1
MIN_ATTEMPT_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A control host replied on behalf of the group."""

    status: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No attempt was accepted: nothing was written."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """An attempt may have been committed; posting again settles it."""

    reason: str


class ControlClient:
    """A client that finds the leader of the control hosts.

    Each attempt has its own connection and deadline, so an unresponsive
    host costs one attempt before the next host is tried.

    Parameters
    ----------
    urls : sequence of str
        Control hosts.
    http : Caller
        Makes the HTTP calls.
    attempt_timeout_s : float
        Maximum time to wait for one host, in seconds.
    """

    def __init__(
        self,
        *,
        urls: typing.Sequence[str],
        http: caller.Caller,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        if not urls:
            raise ValueError('no control host given: []')
        self._urls = [url.rstrip('/') for url in urls]
        self._http = http
        self._attempt_timeout_s = attempt_timeout_s
        self._next_url = self._urls[0]

    def __repr__(self) -> str:
        return f'{type(self).__name__}(urls={self._urls!r})'

    async def post(
        self,
        *,
        path: str,
        body: typing.Any,
        timeout_s: float,
        server_wait_s: float = 0.0,
    ) -> Answered | NotRun | Unknown:
        """Post a body until a control host replies on behalf of the group.

        Parameters
        ----------
        path : str
            Path and query.
        body : object
            JSON types, or bytes. It may be sent more than once.
        timeout_s : float
            Timeout of all attempts together.
        server_wait_s : float
            Time for which the host may delay its response, added to the
            timeout of each attempt.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        sent = False
        reason = 'no control host answered'
        while True:
            remaining_s = until_s - loop.time()
            if remaining_s < MIN_ATTEMPT_S:
                break
            url = self._next_url
            got = await self._http.call(
                method='POST',
                url=url + path,
                body=body,
                timeout_s=min(
                    remaining_s, self._attempt_timeout_s + server_wait_s
                ),
            )
            if isinstance(got, call_failed.CallFailed):
                sent = sent or got.sent
                self._rotate(url)
                await asyncio.sleep(min(RETRY_PAUSE_S, remaining_s / 10))
                continue
            reply = _body(got.body, got.json)
            outcome = reply.get('outcome')
            if outcome == 'not_leader':
                self._next_url = str(reply['leader_url']).rstrip('/')
                # The leader that the host names may already be gone.
                await asyncio.sleep(RETRY_PAUSE_S / 10)
                continue
            if outcome in ('not_run', 'unknown'):
                sent = sent or outcome == 'unknown'
                reason = str(reply.get('reason', ''))
                self._rotate(url)
                await asyncio.sleep(min(RETRY_PAUSE_S, remaining_s / 10))
                continue
            return Answered(status=got.status, body=reply)
        if sent:
            return Unknown(reason=reason)
        return NotRun(reason=reason)

    def _rotate(self, tried: str) -> None:
        # Concurrent calls share `_next_url`. If a call that failed moved on
        # from a URL that another call has just found to be the leader's, all
        # calls would cycle through the hosts in step for seconds.
        if self._next_url != tried:
            return
        position = 0
        if tried in self._urls:
            position = self._urls.index(tried) + 1
        self._next_url = self._urls[position % len(self._urls)]


def _body(
    data: bytes, decode: typing.Callable[[], typing.Any]
) -> dict[str, typing.Any]:
    try:
        reply = decode()
    except ValueError:
        reply = None
    if isinstance(reply, dict):
        return reply
    return {'outcome': 'unknown', 'reason': f'not an answer: {data[:60]!r}'}
