"""Tests of requests that reach a host before it has routes."""

import asyncio

from tests.forwarding import harness
from tests.forwarding import scripted_runner


async def _answer(request, writer):
    writer.write(scripted_runner.response(b'whole answer'))
    await writer.drain()


def test_a_request_waits_for_the_first_configuration():
    """Guards against refusals by hosts that have just started.

    All hosts were killed, and a caller whose first attempt failed retries
    once. The host that restarted first refused this retry, although its
    configuration arrived 0.3 s later, so the request was lost.
    """

    async def work():
        async with harness.running([_answer]) as (host, _):
            plan, host.view.plan = host.view.plan, None
            response_task = asyncio.create_task(host.request())
            await asyncio.sleep(0.3)
            assert not response_task.done()
            host.view.plan = plan
            assert harness.status(await response_task) == 200

    asyncio.run(work())


def test_without_a_configuration_the_wait_ends_in_a_refusal():
    async def work():
        async with harness.running([_answer]) as (host, _):
            host.view.plan = None
            assert harness.status(await host.request()) == 503

    asyncio.run(work())
