"""Tests of how a stream of bytes is split into events."""

import hypothesis
from hypothesis import strategies
import pytest

from limpetroute.forwarding import event_splitter

NEWLINES = ('\n', '\r\n', '\r')


def _event(number, newline):
    return f'id: {number}{newline}data: t{newline}{newline}'.encode()


# Guards against events that are relayed and count as none.
@pytest.mark.parametrize('newline', NEWLINES)
def test_events_count_whatever_ends_their_lines(newline):
    events = event_splitter.EventSplitter()
    data = _event(1, newline) + _event(2, newline)
    assert events.feed(data) == data
    assert events.count == 2
    assert events.last_id == '2'


@hypothesis.given(
    newlines=strategies.lists(strategies.sampled_from(NEWLINES), min_size=1),
    cuts=strategies.lists(strategies.integers(0, 100)),
)
def test_chunks_do_not_change_the_events(newlines, cuts):
    data = b''.join(
        _event(number, newline) for number, newline in enumerate(newlines)
    )
    events = event_splitter.EventSplitter()
    whole = b''
    start = 0
    for end in [*sorted(cut for cut in cuts if cut < len(data)), len(data)]:
        whole += events.feed(data[start:end])
        assert whole == data[: len(whole)]
        start = end
    assert whole + events.take_remainder() == data
    assert events.count == len(newlines)
    assert events.last_id == str(len(newlines) - 1)
