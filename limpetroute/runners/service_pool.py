"""Selects runners of plain services and calls them."""

import collections
import typing

from limpetroute.border import announcement
from limpetroute.runners import directory
from limpetroute.runners import service_call
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from limpetroute.wire import reply

# A runner sets this header if it refuses a call without having run any of
# it. An error status alone may result from a crash during the call.
REFUSED_HEADER = 'Limpetroute-Refused'
MAX_REPLY_BYTES = 4 << 20


class ServicePool:
    """Sends each call to the runner with the fewest calls in progress.

    Parameters
    ----------
    runners : Directory
        The announced runners.
    http : Caller
        Makes the calls.
    drained : collection of str
        Ids of the runners that an operator has drained.
    """

    __slots__ = (
        '_drained',
        '_http',
        '_in_progress',
        '_runners',
        '_start_index',
    )

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
        self._start_index = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={self._runners!r})'

    def knows(self, service: str) -> bool:
        """Return whether the directory has a runner of the service."""
        return any(
            body.role == 'service' and body.service == service
            for body in self._runners.all()
        )

    def pick(
        self, service: str, tried: typing.Collection[str]
    ) -> announcement.AnnouncementBody | None:
        """Return an available runner that was not tried yet, or None.

        Ties between runners with equally few calls are broken in rotation.
        """
        candidates = [
            body
            for body in self._runners.all()
            if body.role == 'service'
            and body.service == service
            and not body.leaving
            and body.runner_id not in self._drained
            and body.runner_id not in tried
        ]
        if not candidates:
            return None
        self._start_index += 1
        start = self._start_index % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        return min(rotated, key=lambda body: self._in_progress[body.runner_id])

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
            result = await self._http.call(
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
        return _result(result)


def _result(
    result: reply.Reply | call_failed.CallFailed,
) -> service_call.ServiceResult:
    if isinstance(result, call_failed.CallFailed):
        return service_call.ServiceFailed(
            reason=str(result.kind),
            sent=result.sent,
            timed_out=result.kind is call_failed.FailureKind.TIMEOUT,
        )
    refused = result.headers.get(REFUSED_HEADER)
    if refused is not None:
        return service_call.ServiceRefused(reason=refused)
    return service_call.ServiceReply(
        status=result.status,
        content_type=result.headers.get('Content-Type', ''),
        body=result.body,
    )
