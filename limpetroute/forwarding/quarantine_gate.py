"""Whether one attempt of a caller may be sent to a runner."""

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import quarantine_client


class QuarantineGate:
    """Whether one attempt of a caller may be sent to a runner.

    Parameters
    ----------
    client : QuarantineClient
        Knows which requests are quarantined.
    request : CallerRequest
        The attempt.
    """

    def __init__(
        self,
        *,
        client: quarantine_client.QuarantineClient,
        request: caller_request.CallerRequest,
    ) -> None:
        self._client = client
        self._request = request
        self.retry_after_s = 0.0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request={self._request.request_id!r})'

    def is_closed(self) -> bool:
        """Return whether it surely may not be sent now.

        Asked before anything is reserved for it.
        """
        if not self._client.is_quarantined(self._request):
            return False
        self.retry_after_s = self._client.wait_s(self._request)
        return self.retry_after_s > 0.0

    async def may_send(self) -> bool:
        """Return whether it may be sent now, to one runner.

        Asked before each send: a request may have waited for its turn
        while it crashed runners elsewhere, and a trial is one send.
        """
        if not self._client.is_quarantined(self._request):
            return True
        verdict = await self._client.request_trial(self._request)
        self.retry_after_s = verdict.wait_s
        return verdict.allowed
