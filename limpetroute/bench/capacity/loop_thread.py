"""An event loop in a thread of its own, whose CPU time can be read."""

import asyncio
import threading
import time
import typing

STOP_TIMEOUT_S = 10.0
_T = typing.TypeVar('_T')


class LoopThread:
    """Runs one part of a measurement apart from the load on it.

    The entry process and what loads it share this process, as it may
    start no other; the clock of each thread keeps their CPU apart.
    """

    __slots__ = ('_loop', '_thread')

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    @property
    def cpu_s(self) -> float:
        """CPU time of the thread so far."""
        assert self._thread.ident is not None
        clock = time.pthread_getcpuclockid(self._thread.ident)
        return time.clock_gettime(clock)

    def run(self, work: typing.Coroutine[typing.Any, typing.Any, _T]) -> _T:
        """Run a coroutine there and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def stop(self) -> None:
        """End the loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        self._loop.close()
