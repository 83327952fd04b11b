"""Logging never blocks the program, and its output is bounded."""

import json
import logging
import queue
import threading
import time

from limpetroute.telemetry import bounded_handler


class Stream:
    def __init__(self):
        self.text = ''
        self.open = threading.Event()

    def write(self, text):
        self.open.wait()
        self.text += text

    def flush(self):
        pass


def record(level=logging.INFO, text='m'):
    return logging.LogRecord('x', level, '', 0, text, (), None)


def test_a_reader_that_stands_still_stops_nobody():
    """A full output pipe must not block the event loop."""
    stream = Stream()
    handler = bounded_handler.BoundedHandler(stream=stream, max_waiting=10)
    started_s = time.monotonic()
    for _ in range(1000):
        handler.emit(record())
    assert time.monotonic() - started_s < 1.0
    stream.open.set()
    while not handler._queue.empty():
        time.sleep(0.01)
    handler.emit(record(text='after'))
    handler.close()
    dropped = [
        json.loads(line)['count']
        for line in stream.text.splitlines()
        if 'dropped' in line
    ]
    assert sum(dropped) >= 980


class RefilledQueue(queue.Queue):
    """A queue that is filled as fast as it is emptied, for a while."""

    def __init__(self, maxsize):
        super().__init__(maxsize)
        self.refills = 100

    def get(self, *args, **kwargs):
        line = super().get(*args, **kwargs)
        if line is not None and self.refills:
            self.refills -= 1
            self.put_nowait(line)
        return line


# Guards against lines that pile up in the writer's own batch, without a bound.
def test_a_batch_has_no_more_lines_than_the_queue(monkeypatch):
    monkeypatch.setattr(bounded_handler.queue, 'Queue', RefilledQueue)
    batches = []
    stream = Stream()
    stream.open.set()
    stream.write = lambda text: batches.append(text.count('\n'))
    handler = bounded_handler.BoundedHandler(stream=stream, max_waiting=10)
    handler.emit(record())
    while handler._queue.refills:
        time.sleep(0.01)
    handler.close()
    assert sum(batches) == 101
    assert max(batches) <= 10


def test_the_rate_of_lines_is_limited_except_for_warnings():
    stream = Stream()
    stream.open.set()
    now_s = [0.0]
    handler = bounded_handler.BoundedHandler(
        stream=stream,
        lines_per_s=10,
        burst_lines=20,
        clock=lambda: now_s[0],
    )
    for _ in range(100):
        handler.emit(record())
    handler.emit(record(logging.WARNING, 'warned'))
    now_s[0] = 1.0
    for _ in range(100):
        handler.emit(record())
    handler.close()
    lines = stream.text.splitlines()
    assert lines.count('m') == 30
    assert 'warned' in lines
    assert json.loads(lines[20])['count'] == 80
