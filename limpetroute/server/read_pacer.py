"""Bounds the work on arriving bodies in one turn of the event loop."""

import asyncio
import collections

# Work of one turn, in bytes that take as long to read; about 2 ms.
MAX_TURN_COST = 1 << 17
READ_COST = 1 << 12
CHUNK_COST = 64


class ReadPacer:
    """Bounds the work on arriving bodies in one turn of the event loop.

    The bound is for all connections together, so that a turn does not grow
    with their number. Bodies proceed in the order in which they wait.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._left = MAX_TURN_COST
        self._has_timer = False
        self._waiting: collections.deque[tuple[asyncio.Future[None], int]] = (
            collections.deque()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(waiting={len(self._waiting)!r})'

    def note(self, cost: int) -> None:
        """Record work that is done in this turn at any rate."""
        self._left -= cost
        self._renew_next_turn()

    async def admit(self, cost: int) -> None:
        """Wait until there is time for some work."""
        if self._left > 0 and not self._waiting:
            self.note(cost)
            return
        future = self._loop.create_future()
        self._waiting.append((future, cost))
        self._renew_next_turn()
        await future

    def _renew_next_turn(self) -> None:
        if not self._has_timer:
            self._has_timer = True
            self._loop.call_soon(self._renew)

    def _renew(self) -> None:
        self._has_timer = False
        # Work beyond the bound is made up for in the next turns.
        self._left = min(MAX_TURN_COST, self._left + MAX_TURN_COST)
        while self._waiting and self._left > 0:
            future, cost = self._waiting.popleft()
            if future.done():
                continue
            future.set_result(None)
            self._left -= cost
        if self._waiting or self._left < MAX_TURN_COST:
            self._renew_next_turn()


def read_cost(data: bytes, *, is_chunked: bool) -> int:
    """Return the cost of a read; each chunk has at least two lines."""
    cost = READ_COST + len(data)
    if is_chunked:
        cost += data.count(b'\n') * CHUNK_COST // 2
    return cost
