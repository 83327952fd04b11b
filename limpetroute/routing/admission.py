"""Decides when the callers of rejected streams should retry."""

from limpetroute.routing import placement
from limpetroute.routing import retry_after
from limpetroute.routing import retry_tracker
from limpetroute.routing import urgency
from limpetroute.routing import waiting_stream

# If a smaller share of the returning callers is placed, Retry-After covers the
# caller's whole remaining deadline.
MIN_SERVED_SHARE = 0.25


class Admission:
    """Decides when the callers of rejected streams should retry."""

    def __init__(self) -> None:
        self._retries = retry_tracker.RetryTracker()
        self._retry_after = retry_after.RetryAfterEstimator()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(retries={self._retries!r})'

    def first_sent_s(
        self, request: placement.PlacementRequest, sent_s: float, now_s: float
    ) -> float:
        """Return when the caller sent this prompt for the first time."""
        first_s = self._retries.first_sent_s(request, sent_s, now_s)
        if first_s == sent_s and not request.goes_on:
            self._retry_after.note_arrival(now_s)
        return first_s

    def note_served(
        self, request: placement.PlacementRequest, now_s: float
    ) -> None:
        """Record that a stream was placed."""
        self._retries.note_served(request, now_s)

    def arrivals_per_s(self, now_s: float) -> float:
        """Return how many streams are sent for the first time per second."""
        return self._retry_after.arrivals_per_s(now_s)

    def note_release(self, now_s: float) -> None:
        """Count a slot that became free."""
        self._retry_after.note_release(now_s)

    def reject(
        self,
        stream: waiting_stream.WaitingStream,
        slot_free_s: float,
        now_s: float,
        *,
        host_backs_off: bool = False,
        rank: urgency.Rank | None = None,
    ) -> placement.Rejection:
        """Return the rejection of a stream, with the time to retry after.

        Parameters
        ----------
        stream : WaitingStream
            The rejected stream.
        slot_free_s : float
            When the first slot that no waiting stream will take becomes free.
        now_s : float
            Monotonic time in seconds.
        host_backs_off : bool
            Whether only its entry host may not send it to any runner. Its
            caller usually reaches another host with a retry.
        rank : Rank or None
            Rank of the stream if ranks decide the order. Callers of less
            urgent streams that return do not go before it.
        """
        request = stream.request
        self._retries.note_refused(request, stream.first_sent_s, now_s)
        if host_backs_off:
            return placement.Rejection(
                request_id=request.request_id,
                retry_after_s=max(
                    retry_after.MIN_RETRY_AFTER_S, slot_free_s - now_s
                ),
                reason='its host has to back off from all runners',
            )
        remaining_s = request.patience_s - (now_s - stream.sent_s)
        served_share = self._retries.served_share(now_s, rank=rank)
        if served_share is not None and served_share < MIN_SERVED_SHARE:
            # With a shorter delay, most callers would return only to be
            # rejected a second time.
            return placement.Rejection(
                request_id=request.request_id,
                retry_after_s=max(retry_after.MIN_RETRY_AFTER_S, remaining_s),
                reason='no place before its deadline',
            )
        wait_s = self._retry_after.retry_after_s(
            slot_wait_s=slot_free_s - now_s,
            expected_returns=self._retries.expected_returns(now_s, up_to=rank)
            - 1,
            remaining_s=remaining_s,
            now_s=now_s,
        )
        return placement.Rejection(
            request_id=request.request_id,
            retry_after_s=wait_s,
            reason='no place in time',
        )
