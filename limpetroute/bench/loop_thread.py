"""An event loop in a thread of its own."""

import asyncio
import threading
import time
import typing

_Result = typing.TypeVar('_Result')


class LoopThread:
    """Runs coroutines in its own thread, whose CPU time can be read."""

    def __init__(self, *, name: str) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name=name, daemon=True
        )
        self._thread.start()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(name={self._thread.name!r})'

    def run(
        self, work: typing.Coroutine[typing.Any, typing.Any, _Result]
    ) -> _Result:
        """Run a coroutine there and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def cpu_s(self) -> float:
        """Return the CPU time that the thread has used."""

        async def read() -> float:
            return time.thread_time()

        return self.run(read())

    def stop(self) -> None:
        """End the loop and the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
