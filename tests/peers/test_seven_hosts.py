import asyncio
import signal

import pytest

from limpetroute.standins import answer_text
from tests.peers import fleet as fleet_module


@pytest.fixture
def fleet(tmp_path):
    made = fleet_module.Fleet(tmp_path)
    try:
        made.start()
        yield made
    finally:
        made.stop()


def _expected_text(reader):
    return answer_text.whole_answer(reader.body['prompt'], reader.words)


def _starts(fleet):
    """Count how often each run was started at decode runners."""
    found = {}
    for name in fleet.decodes():
        for run_id, count in fleet.counts(name)['run_starts'].items():
            found[run_id] = found.get(run_id, 0) + count
    return found


def _over_asked(fleet):
    return sum(
        fleet.counts(name)['counts'].get('over_asked', 0)
        for name in fleet.decodes()
    )


async def _kill_and_resume(fleet):
    """A caller's host is killed, and the caller resumes elsewhere."""
    reader = fleet_module.Reader(
        fleet, prompt='Wording one\nIt is long.', key='k1', words=150
    )
    await reader.read('e1', limit=5)
    assert reader.status == 200
    assert len(reader.texts) == 5
    # The caller is still reading when its host is killed.
    reading = asyncio.create_task(reader.read('e1'))
    await asyncio.sleep(0.5)
    fleet.kill('e1')
    await reading
    assert not reader.done
    for _ in range(20):
        await reader.read('e4')
        if reader.done or reader.status == 200:
            break
        await asyncio.sleep(0.5)
    assert reader.done, (reader.status, reader.error)
    assert reader.text == _expected_text(reader)
    runs = {event_id.rpartition('-')[0] for event_id in reader.ids}
    assert len(runs) == 1
    assert all(count == 1 for count in _starts(fleet).values())


async def _repeat_elsewhere(fleet):
    reader = fleet_module.Reader(
        fleet, prompt='Wording two', key='k2', words=30
    )
    other = fleet_module.Reader(
        fleet, prompt='Wording two', key='k2', words=30
    )
    before = len(_starts(fleet))
    await asyncio.gather(reader.read('e2'), other.read('e5'))
    assert reader.done or other.done
    assert not (reader.done and other.done)
    late = fleet_module.Reader(fleet, prompt='Wording two', key='k2', words=30)
    await late.read('e3')
    assert late.status == 409
    assert len(_starts(fleet)) == before + 1


async def _freeze_and_continue(fleet):
    reader = fleet_module.Reader(
        fleet, prompt='Wording three', key='k3', words=220
    )
    old = asyncio.create_task(reader.read('e2'))
    await asyncio.sleep(1.0)
    fleet.send('e2', signal.SIGSTOP)
    got_before = len(reader.texts)
    newer = fleet_module.Reader(
        fleet, prompt='Wording three', key='k3', words=220
    )
    newer.ids = [reader.ids[-1]]
    newer.texts = list(reader.texts)
    for _ in range(20):
        await newer.read('e6', limit=20)
        if newer.status == 200:
            break
        await asyncio.sleep(0.5)
    assert newer.status == 200, newer.error
    fleet.send('e2', signal.SIGCONT)
    await newer.read('e6')
    await old
    assert newer.done
    assert newer.text == _expected_text(newer)
    # Events in the kernel's socket buffers may still arrive.
    assert len(reader.texts) - got_before <= 3


async def _fill(fleet):
    """Send more requests than slots to all hosts at once."""
    readers = [
        fleet_module.Reader(
            fleet, prompt=f'Dossier {n}\nbody', key=f'f{n}', words=20
        )
        for n in range(90)
    ]
    hosts = [name for name in fleet.hosts if name in fleet.processes]
    await asyncio.gather(
        *(
            reader.read(hosts[n % len(hosts)])
            for n, reader in enumerate(readers)
        )
    )
    wrong = [r for r in readers if r.done and r.text != _expected_text(r)]
    assert wrong == []
    done = sum(reader.done for reader in readers)
    refused = sum(reader.status in (429, 503) for reader in readers)
    assert done + refused == len(readers), [r.status for r in readers]
    assert done >= 60
    assert _over_asked(fleet) == 0


async def _no_run_remains(fleet):
    def idle():
        return all(
            not fleet.counts(name)['active'] for name in fleet.decodes()
        )

    await fleet.until(idle, seconds=15, what='no run left at a runner')


def test_answers_survive_their_hosts(fleet):
    """Of seven entry hosts, one is killed and one freezes for a while.

    A caller whose host is killed must read the remainder of the answer
    at another host, from the same run. A request sent to two hosts at
    once must run once and be answered once. A host that froze while its
    caller resumed elsewhere must add nothing to the old connection. With
    more requests than slots, no runner may be filled beyond its
    capacity, and no run may remain without a caller.
    """

    async def scenario():
        await fleet.until_ready()
        await _repeat_elsewhere(fleet)
        await _kill_and_resume(fleet)
        await _freeze_and_continue(fleet)
        await _fill(fleet)
        await _no_run_remains(fleet)

    asyncio.run(asyncio.wait_for(scenario(), 90))
