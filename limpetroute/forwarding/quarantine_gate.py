"""Checks whether a request may be sent despite the quarantine."""

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import quarantine_client


class QuarantineGate:
    """Checks whether a request may be sent despite the quarantine.

    Parameters
    ----------
    client : QuarantineClient
        Holds the quarantined requests.
    request : CallerRequest
        The request to check.
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
        """Return whether the request is known to be refused now.

        This check makes no call and comes before any reservation.
        """
        if not self._client.is_quarantined(self._request):
            return False
        self.retry_after_s = self._client.wait_s(self._request)
        return self.retry_after_s > 0.0

    async def may_send(self) -> bool:
        """Return whether the request may be sent now, to one runner.

        This check precedes each send, because other attempts may have
        crashed runners while the request was queued, and because a trial
        permits only one send.
        """
        if not self._client.is_quarantined(self._request):
            return True
        verdict = await self._client.request_trial(self._request)
        self.retry_after_s = verdict.wait_s
        return verdict.allowed
