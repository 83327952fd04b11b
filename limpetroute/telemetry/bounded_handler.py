"""Writes log lines without blocking the program."""

import json
import logging
import os
import queue
import threading
import time
import typing

# Maximum number of queued lines; 1.5 MB at 300 bytes per line.
MAX_WAITING = 5000
# A request logs one to three lines, and a host serves some tens of requests
# per second. Lines above this rate are counted instead of written, except
# for warnings and errors.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
CLOSE_TIMEOUT_S = 1.0


class BoundedHandler(logging.Handler):
    """Writes log lines without blocking the program.

    If the process that reads the output stalls, the pipe fills up, and a
    write on the event loop would block all requests. A separate thread
    therefore writes the lines. Lines that exceed its queue or the rate
    limit are dropped, and the number of dropped lines is logged.

    Parameters
    ----------
    stream : file
        Output of the lines.
    lines_per_s : float
        Sustained rate limit for lines below WARNING.
    burst_lines : float
        Burst size of the rate limit.
    max_waiting : int
        Maximum number of queued lines, and of lines written at once.
    clock : callable
        Returns a monotonic time in seconds.
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
        self._refilled_s = clock()
        self._dropped = 0
        self._max_waiting = max_waiting
        self._queue: queue.Queue[str | None] = queue.Queue(max_waiting)
        self._thread = threading.Thread(
            target=self._run, name='log', daemon=True
        )
        self._thread.start()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(dropped={self._dropped!r})'

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record for writing, or drop and count it."""
        try:
            if not self._is_within_rate(record.levelno):
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
        """Write the queued lines, for at most `CLOSE_TIMEOUT_S`."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            # The output is blocked, so the queued lines are lost.
            return
        finally:
            super().close()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _is_within_rate(self, level: int) -> bool:
        if level >= logging.WARNING:
            return True
        now_s = self._clock()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, text: str) -> None:
        """Write directly to the file descriptor, if the stream has one.

        A thread that is blocked in a buffered write holds the buffer's
        lock, and the interpreter aborts at exit if it cannot take that
        lock to flush the buffer.
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
            while len(lines) < self._max_waiting and not self._queue.empty():
                lines.append(self._queue.get())
            text = ''.join(f'{line}\n' for line in lines if line is not None)
            try:
                self._write(text)
            except (OSError, ValueError):
                # The output is closed, so the error cannot be logged.
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
