"""Announcements and departures of runners at a control host."""

import asyncio
import dataclasses
import random
import types

from limpetroute.control import command_submitter
from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import routes_splitter as splitter_module
from limpetroute.control import verdicts
from limpetroute.wire import call_failed

READY = 'ready'


class Group:
    """A group that commits each command at once."""

    def __init__(self):
        self.state = control_state.ControlState(max_claim_bytes=1000)
        self.replica = self
        self.index = 0

    def has_active_leader(self, now_s):
        return True

    async def commit(self, command, timeout_s):
        self.index += 1
        result = self.state.apply(command, self.index)
        return verdicts.Committed(result=result)


@dataclasses.dataclass(kw_only=True)
class Host:
    """The attributes of a control host that a command submitter reads."""

    config: Group
    now_s: float = 0.0
    routes_splitter: splitter_module.RoutesSplitter = dataclasses.field(
        default_factory=splitter_module.RoutesSplitter
    )


def make_submitter():
    group = Group()
    submitter = command_submitter.CommandSubmitter(
        node=Host(config=group),
        http=None,
        parse_services=lambda parts: frozenset(parts[0].text.split()),
    )
    return submitter, group.state


def note(runner_id, address, sequence=1):
    return commands.NoteRunner(
        runner_id=runner_id,
        address=address,
        text='{}',
        sequence=sequence,
        state=READY,
    )


def test_an_unknown_service_removes_no_runner():
    """Guards against an announcement that removes another runner.

    The announcement has an unknown service and the address of a registered
    runner. If it were accepted, the sender would take over the address and
    the registered runner would be removed.
    """

    async def work():
        submitter, state = make_submitter()
        state.apply(
            commands.SubmitRoutes(version=1, digest='d', text='model plain'),
            1,
        )
        await submitter.note_runner(note('i-1', '10.0.0.1:80'), 'model')
        got = await submitter.note_runner(
            note('i-2', '10.0.0.1:80'), 'nothing'
        )
        assert got == command_submitter.UnknownService(service='nothing')
        assert [row.runner_id for row in state.runners] == ['i-1']

    asyncio.run(work())


# Guards against a host that acknowledges an announcement though it lost touch
# with the group while the routes were split.
def test_an_announcement_is_not_acknowledged_after_contact_was_lost(
    monkeypatch,
):
    async def work():
        submitter, _ = make_submitter()
        group = submitter._node.config
        await submitter.note_runner(note('i-1', '10.0.0.1:80'), 'model')

        async def split(state):
            monkeypatch.setattr(
                group, 'has_active_leader', lambda now_s: False
            )

        monkeypatch.setattr(submitter._node.routes_splitter, 'split', split)
        got = await submitter.note_runner(note('i-1', '10.0.0.1:80'), 'model')
        assert isinstance(got, command_submitter.Unconfirmed)

    asyncio.run(work())


def test_runners_do_not_wait_for_the_first_configuration():
    async def work():
        submitter, state = make_submitter()
        await submitter.note_runner(note('i-1', '10.0.0.1:80'), 'model')
        assert [row.runner_id for row in state.runners] == ['i-1']

    asyncio.run(work())


def test_a_late_departure_from_before_a_restart_is_not_logged():
    async def work():
        submitter, state = make_submitter()
        again = dataclasses.replace(note('i-1', '10.0.0.1:80'), started_ms=9)
        await submitter.note_runner(again, 'model')
        await submitter.forget_runner(
            commands.ForgetRunner(runner_id='i-1', started_ms=5)
        )
        assert [row.runner_id for row in state.runners] == ['i-1']

    asyncio.run(work())


def test_a_large_change_has_more_time_to_reach_the_leader():
    """Guards against a large change that is never acknowledged.

    A follower forwards the operator's change to the leader. With the timeout
    of a small change, a change of 10,000 routes times out on a slow link
    each time that it is sent.
    """
    timeouts_s = []

    class NotLeading(Group):
        leader_host = 'leader'

        async def commit(self, command, timeout_s):
            return verdicts.NotRun(
                reason='another leads', leader_host='leader'
            )

    class Passing(Host):
        settings = types.SimpleNamespace(host_id='follower')

        def is_complete(self):
            return True

        def url_of(self, host_id):
            return 'http://127.0.0.1:1'

    class Link:
        async def call(self, *, timeout_s, **rest):
            timeouts_s.append(timeout_s)
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.TIMEOUT, sent=True
            )

    async def work():
        submitter = command_submitter.CommandSubmitter(
            node=Passing(config=NotLeading()),
            http=Link(),
            parse_services=lambda parts: frozenset(),
        )
        # Compression halves the size.
        large = random.Random(1).randbytes(2_400_000).hex()
        for text in ('{}', large):
            got = await submitter.submit_routes(
                version=1, digest='d', text=text
            )
            assert isinstance(got, command_submitter.Unconfirmed)

    asyncio.run(work())
    small_s, large_s = timeouts_s
    assert large_s >= small_s + 0.5
