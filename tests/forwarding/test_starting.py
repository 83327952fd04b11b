"""Requests that reach a host before it knows its routes."""

import asyncio

from tests.forwarding import harness
from tests.forwarding import scripted_runner


async def _answer(seen, writer):
    writer.write(scripted_runner.response(b'whole answer'))
    await writer.drain()


def test_a_request_waits_for_the_first_configuration():
    """All hosts were killed, and the first to be back takes a caller.

    Its caller found nobody before and comes back only once: refused for
    want of a configuration that was there 0.3 s later, it was lost.
    """

    async def work():
        async with harness.running([_answer]) as (host, _):
            plan, host.view.plan = host.view.plan, None
            asked = asyncio.create_task(host.ask())
            await asyncio.sleep(0.3)
            assert not asked.done()
            host.view.plan = plan
            assert harness.status(await asked) == 200

    asyncio.run(work())


def test_without_a_configuration_the_wait_ends_in_a_refusal():
    async def work():
        async with harness.running([_answer]) as (host, _):
            host.view.plan = None
            assert harness.status(await host.ask()) == 503

    asyncio.run(work())
