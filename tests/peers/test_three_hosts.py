import asyncio
import signal

import pytest

from limpetroute.standins import answer_text
from tests.peers import fleet as fleet_module


@pytest.fixture
def fleet(tmp_path):
    made = fleet_module.Fleet(tmp_path, hosts=3, prefills=1, decodes=1)
    try:
        made.start()
        yield made
    finally:
        made.stop()


def _reader(fleet, key, words):
    return fleet_module.Reader(
        fleet, prompt=f'Wording {key}\nIt is long.', key=key, words=words
    )


async def _read_rest(fleet, reader, hosts):
    for attempt in range(40):
        await reader.read(hosts[attempt % len(hosts)])
        if reader.done:
            return
        await asyncio.sleep(0.5)
    raise AssertionError((reader.status, reader.error))


async def _active(fleet):
    counts = await asyncio.to_thread(fleet.counts, 'd0')
    return counts['active']


def test_runs_of_lost_records_end(fleet):
    """All entry hosts lose power at once.

    Their runs continue at the runner, and all records of them are lost.
    After the hosts have restarted, these runs must be ended when the
    grace time is over, but not a new request that is being read.
    """

    async def scenario():
        await fleet.until_ready()
        lost = [_reader(fleet, f'lost{n}', 4000) for n in range(3)]
        await asyncio.gather(
            *(
                reader.read(name, limit=3)
                for reader, name in zip(lost, fleet.hosts, strict=True)
            )
        )
        orphans = await _active(fleet)
        assert len(orphans) == 3
        for name in fleet.hosts:
            fleet.kill(name)
        for name in fleet.hosts:
            fleet.start_host(name)
        await fleet.until_ready()
        slow = _reader(fleet, 'slow', 150)
        reading = asyncio.create_task(slow.read('e0'))
        await fleet.until(
            lambda: not (set(orphans) & set(fleet.counts('d0')['active'])),
            seconds=20,
            what='the lost runs are ended',
        )
        await reading
        assert slow.done
        assert slow.text == answer_text.whole_answer(
            slow.body['prompt'], slow.words
        )

    asyncio.run(asyncio.wait_for(scenario(), 90))


def test_leaving_host_hands_its_streams_over(fleet):
    """A host is stopped gracefully while it sends a long answer.

    The drain timeout ends before the answer. The caller must read the
    remainder at another host, from the same run.
    """

    async def scenario():
        await fleet.until_ready()
        reader = _reader(fleet, 'long', 180)
        reading = asyncio.create_task(reader.read('e1'))
        await asyncio.sleep(1.0)
        fleet.send('e1', signal.SIGTERM)
        await reading
        assert not reader.done
        await _read_rest(fleet, reader, ['e0', 'e2'])
        assert reader.text == answer_text.whole_answer(
            reader.body['prompt'], reader.words
        )
        assert len({name.rpartition('-')[0] for name in reader.ids}) == 1
        counts = fleet.counts('d0')
        assert max(counts['run_starts'].values()) == 1

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_dead_runner_and_dead_host_at_once(fleet):
    """The host and the decode runner of an answer die together.

    The run cannot be resumed. The successor must continue from the
    prompt and the copied words, so that the caller receives the complete
    answer once.
    """

    async def scenario():
        await fleet.until_ready()
        reader = _reader(fleet, 'both', 60)
        await reader.read('e1', limit=5)
        await asyncio.sleep(0.3)
        fleet.kill('d0')
        fleet.kill('e1')
        fleet.start_runner('d0')
        await _read_rest(fleet, reader, ['e0', 'e2'])
        assert reader.text == answer_text.whole_answer(
            reader.body['prompt'], reader.words
        )

    asyncio.run(asyncio.wait_for(scenario(), 60))
