import asyncio

from limpetroute.server import read_pacer

COST = 1 << 16
COUNT = 40


# Guards against a turn of the event loop that grows with the connections.
def test_a_turn_does_a_bounded_amount_of_work():
    async def work():
        pacer = read_pacer.ReadPacer()
        done = []

        async def proceed(number):
            await pacer.admit(COST)
            done.append(number)

        tasks = [asyncio.create_task(proceed(n)) for n in range(COUNT)]
        turns = []
        while len(done) < COUNT:
            before = len(done)
            await asyncio.sleep(0)
            turns.append(len(done) - before)
        await asyncio.gather(*tasks)
        return done, max(turns)

    done, most = asyncio.run(work())
    assert done == list(range(COUNT))
    # The last piece of work of a turn may go beyond the bound.
    assert most <= 1 + read_pacer.MAX_TURN_COST // COST


# Guards against a body that never proceeds because another one is gone.
def test_a_cancelled_wait_holds_up_no_others():
    async def work():
        pacer = read_pacer.ReadPacer()
        pacer.note(10 * read_pacer.MAX_TURN_COST)
        first = asyncio.create_task(pacer.admit(COST))
        second = asyncio.create_task(pacer.admit(COST))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait_for(second, 1.0)

    asyncio.run(work())


def test_each_chunk_costs_more_than_its_bytes():
    plain = read_pacer.read_cost(b'1\r\nw\r\n' * 100, is_chunked=False)
    chunked = read_pacer.read_cost(b'1\r\nw\r\n' * 100, is_chunked=True)
    assert chunked - plain == 100 * read_pacer.CHUNK_COST
