"""Calls from this host to the leading control host."""

import asyncio
import dataclasses
import typing

from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import reply as reply_module

# Control hosts are a few milliseconds away, so a leader that accepts
# neither connection attempt is unreachable. Such a leader is skipped for
# UNREACHABLE_S, or until a new leader is known, because each failed
# call delays a request by a quarter of a second.
CONNECT_TRIES_S = (0.1, 0.15)
UNREACHABLE_S = 1.0
# A kept connection to an unreachable leader costs a call no more time than
# these attempts.
USER_TIMEOUT_S = sum(CONNECT_TRIES_S)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderUnavailable:
    """The leader gave no usable response.

    ``sent`` is whether the leader may have read the call.
    """

    reason: str
    sent: bool = False


class LeaderChannel:
    """Calls from this host to the leading control host.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    """

    def __init__(self, *, http: caller.Caller) -> None:
        self._http = http
        self.url = ''
        self._term = 0
        self._unreachable_until_s = 0.0
        self._listeners: list[typing.Callable[[str], None]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(url={self.url!r})'

    @property
    def unavailable(self) -> LeaderUnavailable | None:
        """Why a call now would be in vain; None if it may succeed."""
        if not self.url:
            return LeaderUnavailable(reason='no leader is known')
        if _now_s() < self._unreachable_until_s:
            return LeaderUnavailable(reason='the leader could not be reached')
        return None

    def subscribe(self, listener: typing.Callable[[str], None]) -> None:
        """Call ``listener`` with the earlier address at a new leader."""
        self._listeners.append(listener)

    def follow(self, url: str, term: int = 0) -> None:
        """Switch to a leader; an empty address means that none is known.

        A leader of a new term has lost what hosts reported to it, also at
        the same address.
        """
        if url == self.url and term <= self._term:
            return
        before = self.url
        self.url = url
        self._term = term
        self._unreachable_until_s = 0.0
        for listener in self._listeners:
            listener(before)

    async def call(
        self,
        path: str,
        body: typing.Any = None,
        *,
        method: str = 'POST',
        headers: typing.Mapping[str, str] | None = None,
        timeout_s: float,
        body_timeout_s: float | None = None,
        connect_tries_s: typing.Sequence[float] = CONNECT_TRIES_S,
    ) -> reply_module.Reply | LeaderUnavailable:
        """Return the leader's response, of any status.

        The first sign of a response must come within ``timeout_s``, and its
        end within ``body_timeout_s`` after that; None for the same time.
        """
        result = await self._http.call(
            method=method,
            url=f'{self.url}{path}',
            body=body,
            headers=headers,
            timeout_s=timeout_s,
            body_timeout_s=body_timeout_s,
            counts_interim=body_timeout_s is not None,
            connect_tries_s=connect_tries_s,
        )
        if isinstance(result, call_failed.CallFailed):
            # A single short attempt fails on any lost packet.
            if not result.sent and connect_tries_s is CONNECT_TRIES_S:
                self._unreachable_until_s = _now_s() + UNREACHABLE_S
            return LeaderUnavailable(
                reason=f'the leader: {result.kind.value}', sent=result.sent
            )
        return result

    def run_in_background(
        self, work: typing.Coroutine[None, None, None]
    ) -> None:
        """Run calls that nobody waits for."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
