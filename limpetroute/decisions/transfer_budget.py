"""Counts the bytes under way on each link and limits their time.

Load pattern: long prompts that end together and share one link, and
transfers that stall. Without it, transfers are started that cannot
arrive before the result dies, and a stalled one holds its KV memory on
both sides for the whole timeout (2 s of a result that lives 0.8 s).
The rate of a link is learned from transfers: bytes under way at the
start of one, its own included, over its time. A transfer is abandoned
after `TIMEOUT_FACTOR` times its predicted time, at least
`MIN_TIMEOUT_S` and at most `MAX_TIMEOUT_S`. The least is half of a
result's life, so that the same result can still go elsewhere.
"""

import dataclasses

from limpetroute.decisions import smoothed

PRIOR_BYTES_PER_S = 5e9
RATE_WEIGHT = 0.1
TIMEOUT_FACTOR = 4.0
LEAST_FACTOR = 1.5
MIN_TIMEOUT_S = 0.4
MAX_TIMEOUT_S = 2.0

Route = tuple[str, str]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Move:
    route: Route
    kv_bytes: int
    ahead_bytes: int
    began_s: float


class TransferBudget:
    """Bytes under way and learned rates, by pair of zones."""

    __slots__ = ('_moves', '_rates', '_under_way')

    def __init__(self) -> None:
        self._moves: dict[str, _Move] = {}
        self._rates: dict[Route, smoothed.Smoothed] = {}
        self._under_way: dict[Route, int] = {}

    @property
    def under_way_bytes(self) -> int:
        """Bytes of all transfers that have not ended."""
        return sum(self._under_way.values())

    def predict_s(self, route: Route, kv_bytes: int) -> float:
        """Time until a transfer started now would end."""
        total = self._under_way.get(route, 0) + kv_bytes
        return total / self._rate(route)

    def timeout_s(self, route: Route, kv_bytes: int, left_s: float) -> float:
        """When to abandon a transfer started now.

        Parameters
        ----------
        left_s : float
            How long the result can still be sent elsewhere. A transfer
            that ought to be over by then is abandoned in time for it.
        """
        predicted_s = self.predict_s(route, kv_bytes)
        limit_s = TIMEOUT_FACTOR * predicted_s
        if LEAST_FACTOR * predicted_s < left_s < limit_s:
            limit_s = left_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, limit_s))

    def start(
        self, work_id: str, route: Route, kv_bytes: int, now_s: float
    ) -> None:
        """Count a transfer."""
        self._end(work_id)
        total = self._under_way.get(route, 0) + kv_bytes
        self._under_way[route] = total
        self._moves[work_id] = _Move(
            route=route, kv_bytes=kv_bytes, ahead_bytes=total, began_s=now_s
        )

    def arrived(self, work_id: str, now_s: float) -> None:
        """Uncount a transfer and learn its link's rate."""
        move = self._end(work_id)
        if move is None or now_s <= move.began_s:
            return
        rate = self._rates.setdefault(
            move.route,
            smoothed.Smoothed(prior=PRIOR_BYTES_PER_S, weight=RATE_WEIGHT),
        )
        rate.add(move.ahead_bytes / (now_s - move.began_s))

    def abandon(self, work_id: str) -> None:
        """Uncount a transfer that did not arrive; idempotent."""
        self._end(work_id)

    def _rate(self, route: Route) -> float:
        known = self._rates.get(route)
        return known.value if known else PRIOR_BYTES_PER_S

    def _end(self, work_id: str) -> _Move | None:
        move = self._moves.pop(work_id, None)
        if move is None:
            return None
        left = self._under_way[move.route] - move.kv_bytes
        self._under_way[move.route] = left
        if left == 0:
            del self._under_way[move.route]
        return move
