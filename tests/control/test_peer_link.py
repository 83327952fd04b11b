import asyncio
import json

from limpetroute.agreement import messages
from limpetroute.border import peer_batch
from limpetroute.control import host_reports
from limpetroute.control import peer_link
from limpetroute.telemetry import boot_clock
from limpetroute.wire import reply

HOSTS = 200
HELLO_S = 5.0


class Posted:
    """Records batches in place of another control host."""

    def __init__(self):
        self.batches = []

    async def call(self, *, body, **rest):
        self.batches.append(json.loads(body))
        return reply.Reply(status=204, headers={}, body=b'')


def make_hello():
    return peer_batch.PeerBatch(
        host_id='c1',
        replica_id='c1.0',
        url='http://127.0.0.1:1',
        blank=False,
    )


def make_envelope():
    return messages.Envelope(
        sender='c1.0',
        to='c2.0',
        message=messages.VoteReply(term=1, granted=True),
    )


async def post(link, count):
    for _ in range(count):
        link.put(0, make_envelope())
        await asyncio.sleep(0.01)


def play(work):
    """Run a coroutine with a link and return the posted batches."""
    posted = Posted()
    reports = host_reports.HostReports(live_s=10.0, forget_s=100.0)
    for n in range(HOSTS):
        reports.note(f'h{n}', 7, boot_clock.now_s())

    async def run():
        link = peer_link.PeerLink(
            url='http://127.0.0.1:1',
            http=posted,
            make_hello=make_hello,
            reports=reports,
            hello_s=HELLO_S,
            timeout_s=1.0,
        )
        link.start()
        await work(link, reports)
        link.stop()

    asyncio.run(run())
    return posted.batches


def test_heartbeats_do_not_grow_with_the_number_of_entry_hosts():
    """Guards against reports of all entry hosts in every message."""

    async def work(link, reports):
        await post(link, 20)

    batches = play(work)
    assert len(batches) >= 10
    reported = [len(batch.get('hosts', {})) for batch in batches]
    assert reported[0] == HOSTS
    assert sum(reported) == HOSTS


def test_a_changed_report_is_part_of_the_next_message():
    async def work(link, reports):
        await post(link, 3)
        reports.note('h5', 8, boot_clock.now_s())
        reports.note('h6', 7, boot_clock.now_s())
        await post(link, 3)

    batches = play(work)
    (changed,) = [one['hosts'] for one in batches[1:] if one.get('hosts')]
    assert list(changed) == ['h5']
    assert changed['h5']['number'] == 8
