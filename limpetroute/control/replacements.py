"""Operators' orders to replace control hosts by others."""

import dataclasses

from limpetroute.border import peer_batch

# Time after which an order expires. Hosts send orders to each other with
# their age, so that an order expires on all hosts at the same time and is
# not restored by a peer.
REPLACEMENT_TTL_S = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replacement:
    """One order: the new host's name and the time of the order."""

    new_host: str
    since_s: float


class Replacements:
    """Operators' orders to replace control hosts by others."""

    __slots__ = ('_orders',)

    def __init__(self) -> None:
        self._orders: dict[str, Replacement] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(orders={self._orders!r})'

    def __contains__(self, old_host: str) -> bool:
        return old_host in self._orders

    def all(self) -> dict[str, str]:
        """Return the successor of each replaced host."""
        return {old: order.new_host for old, order in self._orders.items()}

    def note(self, old_host: str, new_host: str, since_s: float) -> None:
        """Record an order, unless a later one contradicts it.

        An order in the opposite direction replaces the earlier one, so that
        a host can be put back.
        """
        known = self._orders.get(old_host)
        if known is not None and known.since_s >= since_s:
            return
        opposite = self._orders.get(new_host)
        if opposite is not None and opposite.since_s >= since_s:
            return
        self._orders.pop(new_host, None)
        self._orders[old_host] = Replacement(
            new_host=new_host, since_s=since_s
        )

    def expire(self, now_s: float) -> None:
        """Remove orders older than `REPLACEMENT_TTL_S`."""
        for old_host, order in list(self._orders.items()):
            if now_s - order.since_s > REPLACEMENT_TTL_S:
                del self._orders[old_host]

    def bodies(self, now_s: float) -> dict[str, peer_batch.ReplacementBody]:
        """Return the orders, with their ages, to send to a peer."""
        return {
            old: peer_batch.ReplacementBody(
                new_host=order.new_host, age_s=max(0.0, now_s - order.since_s)
            )
            for old, order in self._orders.items()
        }

    def receive(
        self, bodies: dict[str, peer_batch.ReplacementBody], now_s: float
    ) -> None:
        """Record the orders that a peer has sent."""
        for old_host, body in bodies.items():
            if body.age_s <= REPLACEMENT_TTL_S:
                self.note(old_host, body.new_host, now_s - body.age_s)
