"""At-most-once calls that are sent to two hosts."""

import asyncio

from limpetroute.control import claim_store
from limpetroute.entry.services import once_calls
from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call

CALL = service_call.ServiceCall(
    service='registry',
    method='POST',
    path='/release',
    body=b'{}',
    content_type='application/json',
    accept='*/*',
    key='release-7',
    timeout_s=2.0,
)


class SlowStore:
    """A claim store shared by all hosts that stores outcomes slowly."""

    def __init__(self, settle_s):
        self.settle_s = settle_s
        self.claims = {}

    async def claim(self, *, key, **rest):
        if key in self.claims:
            status, body = self.claims[key]
            return claim_store.ClaimFound(
                same_body=True, status=status, body=body
            )
        self.claims[key] = (None, '')
        return claim_store.ClaimGranted(fence=1)

    async def settle(self, *, key, status, body, **rest):
        await asyncio.sleep(self.settle_s)
        self.claims[key] = (status, body)
        return True


class Runner:
    runner_id = 'r1'


class Pool:
    """A pool whose runner answers each call and counts the runs."""

    def __init__(self):
        self.runs = 0

    def pick(self, service, tried):
        return None if tried else Runner()

    async def send(self, runner, call, *, fence):
        self.runs += 1
        return service_call.ServiceReply(
            status=200, content_type='text/plain', body=b'done'
        )


async def call_at(host, store):
    return await host.call(
        claims=store, team='t', digest='d', call=CALL, key_is_generated=False
    )


def test_a_repeat_at_another_host_gets_the_answer_that_went_out():
    """Guards against an unknown outcome for a repeat.

    The first caller has received the answer, so a repeat at another host
    must find it in the control log.
    """

    async def work():
        pool = Pool()
        store = SlowStore(settle_s=0.1)
        hosts = [
            once_calls.OnceCalls(host_id=f'h{n}', pool=pool) for n in range(2)
        ]
        first = await call_at(hosts[0], store)
        again = await call_at(hosts[1], store)
        assert pool.runs == 1
        assert isinstance(first, service_outcome.Answered)
        assert isinstance(again, service_outcome.Answered), again
        assert again.reply.body == first.reply.body

    asyncio.run(work())


def test_an_answer_does_not_wait_for_a_control_log_that_is_gone():
    """An answer is delivered although its outcome cannot be stored."""

    async def work():
        host = once_calls.OnceCalls(host_id='h', pool=Pool())
        start_s = asyncio.get_running_loop().time()
        got = await call_at(host, SlowStore(settle_s=30.0))
        took_s = asyncio.get_running_loop().time() - start_s
        assert isinstance(got, service_outcome.Answered)
        assert took_s < once_calls.MAX_STORE_WAIT_S + 0.5

    asyncio.run(work())
