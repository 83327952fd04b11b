"""Finds the control log's leader and puts a question to it."""

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
    """A control host answered for the group."""

    status: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No try was taken: nothing is written."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """A try may have been taken; asking again settles it."""

    reason: str


class ControlClient:
    """Finds the control log's leader and puts a question to it.

    Each try has a connection of its own and a deadline, so a host that
    went silent costs one try and the next host is asked.

    Parameters
    ----------
    urls : sequence of str
        Control hosts.
    http : Caller
        Makes the calls.
    attempt_timeout_s : float
        Longest wait for one host.
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
        """Post a body until a control host answers for the group.

        Parameters
        ----------
        path : str
            Path and query.
        body : object
            JSON types, or bytes; safe to send more than once.
        timeout_s : float
            Longest time in all.
        server_wait_s : float
            Time that the host itself may hold the answer.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        sent = False
        reason = 'no control host answered'
        while True:
            left_s = until_s - loop.time()
            if left_s < MIN_ATTEMPT_S:
                break
            url = self._next_url
            got = await self._http.call(
                method='POST',
                url=url + path,
                body=body,
                timeout_s=min(left_s, self._attempt_timeout_s + server_wait_s),
            )
            if isinstance(got, call_failed.CallFailed):
                sent = sent or got.sent
                self._rotate(url)
                await asyncio.sleep(min(RETRY_PAUSE_S, left_s / 10))
                continue
            answer = _body(got.body, got.json)
            outcome = answer.get('outcome')
            if outcome == 'not_leader':
                self._next_url = str(answer['leader_url']).rstrip('/')
                # It may point at a host that is gone already.
                await asyncio.sleep(RETRY_PAUSE_S / 10)
                continue
            if outcome in ('not_run', 'unknown'):
                sent = sent or outcome == 'unknown'
                reason = str(answer.get('reason', ''))
                self._rotate(url)
                await asyncio.sleep(min(RETRY_PAUSE_S, left_s / 10))
                continue
            return Answered(status=got.status, body=answer)
        if sent:
            return Unknown(reason=reason)
        return NotRun(reason=reason)

    def _rotate(self, tried: str) -> None:
        # Many questions share what is known of the leader. Turning away
        # from a host that another question has just found to lead, all
        # of them would walk round the dead host in step for seconds.
        if self._next_url != tried:
            return
        place = 0
        if tried in self._urls:
            place = self._urls.index(tried) + 1
        self._next_url = self._urls[place % len(self._urls)]


def _body(
    data: bytes, decode: typing.Callable[[], typing.Any]
) -> dict[str, typing.Any]:
    try:
        answer = decode()
    except ValueError:
        answer = None
    if isinstance(answer, dict):
        return answer
    return {'outcome': 'unknown', 'reason': f'not an answer: {data[:60]!r}'}
