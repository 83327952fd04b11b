"""Streams that callers take up, at a leader beside several versions."""

import asyncio

import pytest

from limpetroute.control import runner_row
from limpetroute.dispatch import dispatcher as dispatcher_module
from limpetroute.routing import placement
from limpetroute.routing import stream_origins
from tests.dispatch import test_dispatcher
from tests.routing import builders


def make_row(name, version, *, port=1, changed_index=1):
    info = builders.make_runner(name, port=port, version=version)
    return runner_row.RunnerRow(
        runner_id=name,
        address=info.address,
        text=info.detail(),
        sequence=1,
        state='ready',
        changed_index=changed_index,
    )


class Leader(test_dispatcher.Leader):
    """A leader beside decode runners of the given versions."""

    def __init__(self, *versions):
        super().__init__()
        self.table = self.dispatcher._node.config.state.runners
        self.set_versions(*versions)

    def set_versions(self, *versions):
        self.table[:] = [
            make_row(f'd{n}', version, port=n + 1)
            for n, version in enumerate(versions)
        ]
        self.table.changed_index += 1

    async def place(self, name, *, team='team', **fields):
        task = asyncio.create_task(
            super().place(name, team=team, reads_prompt=False, **fields)
        )
        async with asyncio.timeout(2.0):
            while not task.done():
                # A running leader does this at short intervals.
                self.dispatcher._request_pass('model')
                await asyncio.sleep(0.01)
        return task.result()

    async def begin(self, name, *, version, **fields):
        """Place a stream at a version, up to its first event."""
        placed = await self.place(name, version=version, **fields)
        assert self.version_of(placed) == version
        self.dispatcher.note_first_event('model', name, 0, 0.1)

    async def take_up(self, name, resumes='', **fields):
        return await self.place(name, goes_on=True, resumes=resumes, **fields)

    def report(self, name, version, *, team='team'):
        key = stream_origins.StreamKey(
            service='model', team=team, request_id=name
        )
        origin = stream_origins.StreamOrigin(
            key=key, version=version, remaining_s=10.0
        )
        self.dispatcher.note_streams([origin])

    def new_term(self):
        self.replica.term += 1

    def version_of(self, placed):
        assert isinstance(placed, placement.Placement), placed
        (version,) = {
            one.version
            for one in placed.runners
            if one.runner_id == placed.decode_id
        }
        return version


def is_unknown(answer):
    return isinstance(answer, placement.Rejection) and answer.is_unknown_stream


@pytest.fixture(autouse=True)
def _no_wait_for_restores(monkeypatch):
    monkeypatch.setattr(dispatcher_module, 'RESTORE_PERIOD_S', 0.0)


# Guards against a stream that is taken up at another version.
def test_a_stream_is_taken_up_at_the_version_that_began_it():
    async def work():
        leader = Leader('v1', 'v2')
        for number in range(6):
            version = f'v{number % 2 + 1}'
            await leader.begin(f'a{number}', version=version)
            placed = await leader.take_up(f'b{number}', f'a{number}')
            assert leader.version_of(placed) == version
            assert placed.version == version

    asyncio.run(work())


# Guards against a stream that is taken up at the version of a placement that
# was prefilled and failed, when its host was lost before it named the next.
@pytest.mark.parametrize('is_late', [False, True])
def test_a_stream_that_was_placed_again_is_not_taken_up_at_the_first_version(
    is_late,
):
    async def work():
        leader = Leader('v1', 'v2')
        await leader.place('a', version='v1')
        if not is_late:
            leader.dispatcher.note_prefill_done('model', 'a', 0)
        placed = await leader.place('a', version='v2', attempt=1)
        assert leader.version_of(placed) == 'v2'
        if is_late:
            leader.dispatcher.note_prefill_done('model', 'a', 0)
        assert is_unknown(await leader.take_up('b', 'a'))
        leader.dispatcher.note_first_event('model', 'a', 1, 0.1)
        placed = await leader.take_up('c', 'a')
        assert leader.version_of(placed) == 'v2'

    asyncio.run(work())


# Guards against the same where the second runner names no version.
def test_a_stream_that_was_placed_again_at_no_version_is_unknown():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.place('a', version='v1')
        leader.dispatcher.note_prefill_done('model', 'a', 0)
        leader.set_versions(None)
        await leader.place('a', attempt=1)
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())


@pytest.mark.parametrize(
    ('resumes', 'team'),
    [('', 'team'), ('made-up', 'team'), ('a', 'other'), ('a', '')],
)
def test_an_unknown_stream_is_refused_beside_two_versions(resumes, team):
    async def work():
        leader = Leader('v1', 'v2')
        await leader.begin('a', version='v1')
        answer = await leader.take_up('b', resumes, team=team)
        assert is_unknown(answer)
        assert answer.reason

    asyncio.run(work())


@pytest.mark.parametrize(
    ('resumes', 'team'),
    [('', 'team'), ('made-up', 'team'), ('a', 'other'), ('a', '')],
)
def test_an_unknown_stream_goes_on_beside_one_version(resumes, team):
    async def work():
        leader = Leader('v1', 'v1')
        await leader.begin('a', version='v1')
        placed = await leader.take_up('b', resumes, team=team)
        assert placed.version == 'v1'

    asyncio.run(work())


# Guards against a guess where runners were announced without a version.
def test_an_unknown_stream_is_refused_beside_an_unknown_version():
    async def work():
        leader = Leader('v1', None)
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())


# Guards against a stream of a version whose last runner has just left.
def test_an_unknown_stream_is_refused_soon_after_a_release():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.place('other')
        leader.set_versions('v2')
        assert is_unknown(await leader.take_up('b', 'a'))
        # The version of the stream is known, but it has no runner.
        leader.report('c', 'v1')
        answer = await leader.take_up('d', 'c')
        assert isinstance(answer, placement.Rejection)
        assert not answer.is_unknown_stream

    asyncio.run(work())


def test_a_runner_that_has_left_counts_for_a_new_leader():
    async def work():
        leader = Leader('v2')
        leader.table.departed.append(make_row('gone', 'v1'))
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())


# Guards against a chain of attempts that ends once the first has expired.
@pytest.mark.parametrize('names_first', [False, True])
def test_a_stream_is_taken_up_again_and_again(names_first, monkeypatch):
    now_s = [1000.0]
    monkeypatch.setattr(
        dispatcher_module.boot_clock, 'now_s', lambda: now_s[0]
    )

    async def work():
        leader = Leader('v1', 'v2')
        leader._restores_until_s = 0.0
        await leader.begin('a0', version='v2')
        for number in range(1, 5):
            now_s[0] += 20.0
            resumes = 'a0' if names_first else f'a{number - 1}'
            placed = await leader.take_up(f'a{number}', resumes)
            assert leader.version_of(placed) == 'v2'
            leader.dispatcher.note_first_event('model', f'a{number}', 0, 0.1)

    asyncio.run(work())


# Guards against an attempt without an event whose version binds a stream.
def test_a_placement_that_was_not_used_is_no_origin():
    async def work():
        leader = Leader('v1', 'v2')
        placed = await leader.place('a', version='v1')
        assert placed.decode_id == 'd0'
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())


def test_the_last_placement_that_was_used_is_the_origin():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.place('a', version='v1', attempt=1)
        leader.dispatcher.note_prefill_done('model', 'a', 1)
        leader.dispatcher.release(
            'model', placement.Release(request_id='a', attempt=1)
        )
        await leader.place('a', version='v2', attempt=2)
        leader.dispatcher.note_first_event('model', 'a', 2, 0.1)
        placed = await leader.take_up('b', 'a')
        assert leader.version_of(placed) == 'v2'

    asyncio.run(work())


# Guards against a late message about a placement that was released.
def test_a_released_placement_is_no_origin():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.place('a', version='v1', attempt=1)
        leader.dispatcher.release(
            'model', placement.Release(request_id='a', attempt=1)
        )
        leader.dispatcher.note_first_event('model', 'a', 1, 0.1)
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())


def test_a_hosts_report_replaces_the_note_of_a_placement():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.begin('a', version='v1')
        leader.report('a', 'v2')
        placed = await leader.take_up('b', 'a')
        assert leader.version_of(placed) == 'v2'

    asyncio.run(work())


# Guards against a host of an earlier release, which names no attempt.
def test_a_stream_goes_on_within_its_answer_by_its_own_id():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.begin('a', version='v2')
        placed = await leader.take_up('a', 'made-up')
        assert leader.version_of(placed) == 'v2'

    asyncio.run(work())


def test_a_host_that_knows_the_version_is_believed():
    async def work():
        leader = Leader('v1', 'v2')
        placed = await leader.take_up('b', 'a', version='v2')
        assert leader.version_of(placed) == 'v2'
        leader.dispatcher.note_first_event('model', 'b', 0, 0.1)
        # The attempt that it named is known now, too.
        for resumes in ('a', 'b'):
            placed = await leader.take_up('c', resumes)
            assert leader.version_of(placed) == 'v2'

    asyncio.run(work())


# Guards against a new leader that refuses streams which hosts still report.
def test_a_new_leader_waits_for_the_reports_of_hosts(monkeypatch):
    async def work():
        monkeypatch.setattr(dispatcher_module, 'RESTORE_PERIOD_S', 0.1)
        leader = Leader('v1', 'v2')
        task = asyncio.create_task(leader.take_up('b', 'a'))
        await asyncio.sleep(0.02)
        assert not task.done()
        leader.report('a', 'v1')
        assert leader.version_of(await task) == 'v1'

    asyncio.run(work())


def test_a_new_leader_refuses_what_no_host_has_reported():
    async def work():
        earlier, leader = Leader('v1', 'v2'), Leader('v1', 'v2')
        await earlier.begin('a', version='v1')
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())


# Guards against streams that are refused because their leader lost its quorum
# for a moment.
def test_a_leader_that_leads_again_keeps_what_it_has_noted():
    async def work():
        leader = Leader('v1', 'v2')
        await leader.begin('a', version='v1')
        leader.new_term()
        placed = await leader.take_up('b', 'a')
        assert leader.version_of(placed) == 'v1'

    asyncio.run(work())


# Guards against a refusal by a host that does not lead any more.
def test_a_host_that_lost_its_lease_while_it_waits_refuses_nothing(
    monkeypatch,
):
    monkeypatch.setattr(dispatcher_module, 'RESTORE_PERIOD_S', 0.1)

    async def work():
        leader = Leader('v1', 'v2')
        task = asyncio.create_task(leader.take_up('b', 'a'))
        await asyncio.sleep(0.02)
        leader.replica.leads = False
        return await task

    assert asyncio.run(work()) is None


def test_a_refused_stream_is_not_charged():
    async def work():
        leader = Leader('v1', 'v2')
        charged = []
        leader.dispatcher._quotas.charge = lambda *rest: charged.append(rest)
        assert is_unknown(await leader.take_up('b', 'a', quota_cost=5.0))
        assert not charged

    asyncio.run(work())


# Guards against a new leader that has not seen the version which a runner had
# before it restarted.
def test_a_host_follows_the_versions_before_it_leads():
    async def work():
        leader = Leader('v1')
        leader.replica.leads = False
        leader.dispatcher.start()
        await asyncio.sleep(0.1)
        leader.dispatcher.stop()
        leader.set_versions('v2')
        leader.replica.leads = True
        assert is_unknown(await leader.take_up('b', 'a'))

    asyncio.run(work())
