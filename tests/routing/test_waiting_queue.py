from limpetroute.routing import waiting_queue
from limpetroute.routing import waiting_stream
from tests.routing import builders


def make_stream(name, *, sent_s=0.0, **fields):
    request = builders.make_request(name, **fields)
    return waiting_stream.WaitingStream(
        request=request, sent_s=sent_s, first_sent_s=sent_s, tokens=5000
    )


def names(queue):
    return [one.request_id for one in queue.in_order()]


def make_queue():
    queue = waiting_queue.WaitingQueue()
    queue.add(make_stream('late2', sent_s=2.0), False)
    queue.add(make_stream('late1', sent_s=1.0), False)
    queue.add(make_stream('soon', sent_s=3.0), True)
    queue.add(make_stream('sooner', sent_s=2.5), True)
    queue.add(make_stream('once', sent_s=4.0, may_repeat=False), True)
    queue.add(make_stream('begun', sent_s=5.0, goes_on=True), True)
    return queue


def test_streams_are_ordered_by_what_their_callers_lose():
    assert names(make_queue()) == [
        'begun',
        'once',
        'sooner',
        'soon',
        'late1',
        'late2',
    ]


def test_streams_that_become_late_move_behind():
    queue = make_queue()
    queue.sort(lambda one: one.sent_s > 2.5)
    assert names(queue) == [
        'begun',
        'once',
        'soon',
        'late1',
        'late2',
        'sooner',
    ]
    queue.remove('begun')
    queue.remove('unknown')
    assert len(queue) == 5
    assert 'begun' not in queue
