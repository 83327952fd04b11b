"""Writes log lines without ever holding the program up."""

import json
import logging
import os
import queue
import threading
import time
import typing

# Lines that wait for a reader; at 300 bytes each, 1.5 MB at most.
MAX_WAITING = 5000
# A request writes one to three lines, and a host serves some tens of
# requests a second. Beyond this, lines of requests are counted instead
# of written; warnings always pass.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
CLOSE_TIMEOUT_S = 1.0


class BoundedHandler(logging.Handler):
    """Writes log lines without ever holding the program up.

    A reader of the output that stands still would stop whoever writes
    to it: the pipe is full, and the event loop waits with all requests
    in it. Lines are handed to a thread of their own; where it cannot
    keep up, or there are too many in a second, they are dropped and
    their number is written instead.

    Parameters
    ----------
    stream : file
        Where lines go.
    lines_per_s : float
        Lines below WARNING that are written in the long run.
    burst_lines : float
        Lines that may come at once.
    max_waiting : int
        Lines that wait for the stream.
    clock : callable
        Returns seconds.
    """

    def __init__(
        self,
        *,
        stream: typing.TextIO,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
        max_waiting: int = MAX_WAITING,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._stream = stream
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._clock = clock
        self._tokens = burst_lines
        self._filled_s = clock()
        self._dropped = 0
        self._queue: queue.Queue[str | None] = queue.Queue(max_waiting)
        self._thread = threading.Thread(
            target=self._run, name='log', daemon=True
        )
        self._thread.start()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(dropped={self._dropped!r})'

    def emit(self, record: logging.LogRecord) -> None:
        """Hand a record over, or count it."""
        try:
            if not self._may_pass(record.levelno):
                self._dropped += 1
                return
            line = self.format(record)
            dropped = self._dropped
            if dropped:
                line = f'{_dropped_line(dropped)}\n{line}'
            self._queue.put_nowait(line)
            self._dropped -= dropped
        except queue.Full:
            self._dropped += 1
        except (ValueError, TypeError, KeyError):
            self.handleError(record)

    def close(self) -> None:
        """Write what waits, for a second at most."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            # The reader stands still; what waits is lost with it.
            return
        finally:
            super().close()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _may_pass(self, level: int) -> bool:
        if level >= logging.WARNING:
            return True
        now_s = self._clock()
        gained = (now_s - self._filled_s) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, text: str) -> None:
        """Write past the stream's buffer, where there is a file below.

        A thread that stands still in a buffer's write holds its lock,
        and the interpreter aborts when it cannot flush the buffer at
        its end.
        """
        try:
            fd = self._stream.fileno()
        except (AttributeError, OSError):
            self._stream.write(text)
            self._stream.flush()
            return
        data = memoryview(text.encode())
        while data:
            data = data[os.write(fd, data) :]

    def _run(self) -> None:
        while True:
            lines = [self._queue.get()]
            while not self._queue.empty():
                lines.append(self._queue.get())
            text = ''.join(f'{one}\n' for one in lines if one is not None)
            try:
                self._write(text)
            except (OSError, ValueError):
                # Nobody reads any more; there is nowhere to say so.
                return
            if None in lines:
                return


def _dropped_line(count: int) -> str:
    body = {
        'level': 'WARNING',
        'logger': __name__,
        'message': 'log lines dropped',
        'count': count,
    }
    return json.dumps(body)
