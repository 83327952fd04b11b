"""Picks runners of plain services and calls them."""

import collections
import typing

from limpetroute.border import announcement
from limpetroute.runners import directory
from limpetroute.runners import service_call
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import reply

# A runner that refuses a call before it does any of it says so with
# this header; a status alone may come from a crash in the middle.
REFUSED_HEADER = 'Limpetroute-Refused'
MAX_REPLY_BYTES = 4 << 20


class ServicePool:
    """Sends each call to the runner with the fewest calls in progress.

    Parameters
    ----------
    runners : Directory
        The runners known.
    http : Caller
        Makes the calls.
    drained : collection of str
        Runners that an operator wants to get no new work.
    """

    __slots__ = ('_drained', '_http', '_in_progress', '_runners', '_turn')

    def __init__(
        self,
        *,
        runners: directory.Directory,
        http: caller.Caller,
        drained: typing.Collection[str] = (),
    ) -> None:
        self._runners = runners
        self._http = http
        self._drained = drained
        self._in_progress: collections.Counter[str] = collections.Counter()
        self._turn = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={self._runners!r})'

    def knows(self, service: str) -> bool:
        """Whether a runner of the service is known."""
        return any(
            body.role == 'service' and body.service == service
            for body in self._runners.all()
        )

    def pick(
        self, service: str, tried: typing.Collection[str]
    ) -> announcement.AnnouncementBody | None:
        """Return a runner that takes work and was not tried, or None."""
        fit = [
            body
            for body in self._runners.all()
            if body.role == 'service'
            and body.service == service
            and not body.leaving
            and body.runner_id not in self._drained
            and body.runner_id not in tried
        ]
        if not fit:
            return None
        self._turn += 1
        start = self._turn % len(fit)
        order = fit[start:] + fit[:start]
        return min(order, key=lambda body: self._in_progress[body.runner_id])

    async def send(
        self,
        runner: announcement.AnnouncementBody,
        call: service_call.ServiceCall,
        *,
        fence: int | None = None,
    ) -> service_call.ServiceResult:
        """Send a call once."""
        headers = {'Idempotency-Key': call.key, 'Accept': call.accept}
        if call.content_type:
            headers['Content-Type'] = call.content_type
        if fence is not None:
            headers['Limpetroute-Fence'] = str(fence)
        self._in_progress[runner.runner_id] += 1
        try:
            got = await self._http.call(
                method=call.method,
                url=runner.url.rstrip('/') + call.path,
                body=call.body or None,
                headers=headers,
                timeout_s=call.timeout_s,
                max_reply_bytes=MAX_REPLY_BYTES,
            )
        finally:
            self._in_progress[runner.runner_id] -= 1
            if not self._in_progress[runner.runner_id]:
                del self._in_progress[runner.runner_id]
        return _result(got)


def _result(
    got: reply.Reply | call_failed.CallFailed,
) -> service_call.ServiceResult:
    if isinstance(got, call_failed.CallFailed):
        return service_call.ServiceFailed(
            reason=str(got.kind),
            sent=got.sent,
            timed_out=got.kind is call_failed.FailureKind.TIMEOUT,
        )
    refused = got.headers.get(REFUSED_HEADER)
    if refused is not None:
        return service_call.ServiceRefused(reason=refused)
    return service_call.ServiceReply(
        status=got.status,
        content_type=got.headers.get('Content-Type', ''),
        body=got.body,
    )
