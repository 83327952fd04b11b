"""What one request is charged to its team's quota."""

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import quota_client
from limpetroute.routing import quota_verdict


class QuotaCharge:
    """What one request is charged to its team's quota.

    A request is charged once, also if it is sent to several runners, and
    gets its cost back if none of them ran it.

    Parameters
    ----------
    client : QuotaClient
        Charges the team.
    request : CallerRequest
        The identified request.
    """

    def __init__(
        self,
        *,
        client: quota_client.QuotaClient,
        request: caller_request.CallerRequest,
    ) -> None:
        self._client = client
        self._request = request
        self._is_charged = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(due={self.due!r})'

    @property
    def due(self) -> float:
        """Units that are still to be charged."""
        return 0.0 if self._is_charged else self._request.quota_cost

    def take(self) -> quota_verdict.QuotaVerdict:
        """Charge a plain request, or refuse it."""
        return self._note(self._client.admit(self._request))

    def take_locally(self) -> quota_verdict.QuotaVerdict:
        """Charge a request without the leader, or refuse it."""
        if not self.due:
            return quota_verdict.ALLOWED
        return self._note(self._client.admit_locally(self._request))

    def note_granted(self) -> None:
        """Record that the leader has charged the request."""
        if self.due:
            self._is_charged = True
            self._client.note_granted(self._request)

    def note_refused(self) -> None:
        """Record that the leader refused the request."""
        self._client.note_refused(self._request)

    def settle(self, *, may_have_run: bool) -> None:
        """Give the cost back unless a runner may have run the request."""
        if self._is_charged and not may_have_run:
            self._is_charged = False
            self._client.give_back(self._request)

    def _note(
        self, verdict: quota_verdict.QuotaVerdict
    ) -> quota_verdict.QuotaVerdict:
        self._is_charged = verdict.allowed
        return verdict
