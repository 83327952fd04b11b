"""Counts the bytes in flight on each link and sets transfer timeouts.

Load pattern: long prefills that end together and share one link, and
transfers that stall. Without this budget, transfers are started that
cannot arrive before the prefill result expires, and a stalled transfer
occupies KV memory on both sides for the whole timeout (2 s, while a
result lives 0.8 s). The rate of a link is learned from transfers: the
bytes in flight when one starts, its own included, divided by its
duration. A transfer is abandoned after `TIMEOUT_FACTOR` times its
predicted time, at least `MIN_TIMEOUT_S` and at most `MAX_TIMEOUT_S`.
The minimum is half the lifetime of a result, so that the same result
can still be sent to another runner.
"""

import dataclasses

from limpetroute.decisions import smoothed

PRIOR_BYTES_PER_S = 5e9
RATE_WEIGHT = 0.1
TIMEOUT_FACTOR = 4.0
MIN_TIMEOUT_FACTOR = 1.5
MIN_TIMEOUT_S = 0.4
MAX_TIMEOUT_S = 2.0

Link = tuple[str, str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Transfer:
    link: Link
    kv_bytes: int
    in_flight_at_start_bytes: int
    started_s: float


class TransferBudget:
    """Bytes in flight and learned rates, by pair of zones."""

    __slots__ = ('_in_flight', '_rates', '_transfers')

    def __init__(self) -> None:
        self._transfers: dict[str, _Transfer] = {}
        self._rates: dict[Link, smoothed.Smoothed] = {}
        self._in_flight: dict[Link, int] = {}

    @property
    def in_flight_bytes(self) -> int:
        """Bytes of all transfers that have not ended."""
        return sum(self._in_flight.values())

    def predict_s(self, link: Link, kv_bytes: int) -> float:
        """Predicted duration of a transfer that starts now."""
        total = self._in_flight.get(link, 0) + kv_bytes
        return total / self._rate(link)

    def timeout_s(
        self, link: Link, kv_bytes: int, remaining_s: float
    ) -> float:
        """Time after which to abandon a transfer that starts now.

        Parameters
        ----------
        remaining_s : float
            Time for which the result can still be sent elsewhere. A
            transfer that is predicted to end well before then is
            abandoned at that time at the latest.
        """
        predicted_s = self.predict_s(link, kv_bytes)
        limit_s = TIMEOUT_FACTOR * predicted_s
        if MIN_TIMEOUT_FACTOR * predicted_s < remaining_s < limit_s:
            limit_s = remaining_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, limit_s))

    def start(
        self, work_id: str, link: Link, kv_bytes: int, now_s: float
    ) -> None:
        """Start counting the bytes of a transfer."""
        self._end(work_id)
        total = self._in_flight.get(link, 0) + kv_bytes
        self._in_flight[link] = total
        self._transfers[work_id] = _Transfer(
            link=link,
            kv_bytes=kv_bytes,
            in_flight_at_start_bytes=total,
            started_s=now_s,
        )

    def complete(self, work_id: str, now_s: float) -> None:
        """Stop counting a transfer and update its link's rate."""
        transfer = self._end(work_id)
        if transfer is None or now_s <= transfer.started_s:
            return
        rate = self._rates.setdefault(
            transfer.link,
            smoothed.Smoothed(prior=PRIOR_BYTES_PER_S, weight=RATE_WEIGHT),
        )
        rate.add(
            transfer.in_flight_at_start_bytes / (now_s - transfer.started_s)
        )

    def abandon(self, work_id: str) -> None:
        """Stop counting a transfer that did not arrive; idempotent."""
        self._end(work_id)

    def _rate(self, link: Link) -> float:
        rate = self._rates.get(link)
        return rate.value if rate else PRIOR_BYTES_PER_S

    def _end(self, work_id: str) -> _Transfer | None:
        transfer = self._transfers.pop(work_id, None)
        if transfer is None:
            return None
        remaining_bytes = self._in_flight[transfer.link] - transfer.kv_bytes
        self._in_flight[transfer.link] = remaining_bytes
        if remaining_bytes == 0:
            del self._in_flight[transfer.link]
        return transfer
