"""Room at a runner: never granted twice, whatever the hosts do."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from limpetroute.peers import grant
from limpetroute.peers import grant_book
from limpetroute.peers import lease_voter
from tests.peers import grant_world

HOSTS = tuple(grant_world.RATES)


def _settled(world):
    """Run until somebody grants; return its name."""
    for _ in range(60):
        world.wait(0.5)
        world.report()
        for name in HOSTS:
            world.tick(name)
        for name in HOSTS:
            if name in world.down:
                continue
            for book in world.desks[name].books:
                if book.settled:
                    return name
    raise AssertionError('nobody grants')


def _others(name):
    return [other for other in HOSTS if other != name]


def test_one_host_grants_and_others_ask_it():
    world = grant_world.GrantWorld()
    holder = _settled(world)
    one, two = _others(holder)
    assert world.acquire(one, 100) is not None
    assert world.acquire(two, 100) is not None
    assert world.acquire(holder, 100) is None


def test_bytes_run_out_before_slots():
    world = grant_world.GrantWorld()
    holder = _settled(world)
    assert world.acquire(holder, 900) is not None
    assert world.acquire(holder, 101) is None
    assert world.acquire(holder, 100) is not None


def test_new_holder_counts_what_the_dead_one_granted():
    """The host that grants for a runner loses power.

    It had granted both slots; the runs go on. The next holder must
    find the runner full, though nobody hands it a book.
    """
    world = grant_world.GrantWorld()
    holder = _settled(world)
    one, _ = _others(holder)
    for _ in range(2):
        work = world.acquire(one, 100)
        assert world.start(one, work, 0.0)
    world.down.add(holder)
    rest = {name: 'z' for name in _others(holder)}
    for name in rest:
        world.desks[name].set_hosts(rest)
    next_holder = _settled(world)
    assert next_holder != holder
    assert world.acquire(one, 100) is None
    world.finish(work)
    world.release(one, work)
    world.wait(2)
    world.report()
    assert world.acquire(one, 100) is not None


def test_takeover_is_later_than_the_lease_and_from_a_new_report():
    world = grant_world.GrantWorld()
    holder = _settled(world)
    world.down.add(holder)
    rest = {name: 'z' for name in _others(holder)}
    for name in rest:
        world.desks[name].set_hosts(rest)
    began_s = world.real_s
    _settled(world)
    waited_s = world.real_s - began_s
    assert 4.0 < waited_s < 12.0


def test_leaving_holder_hands_over_at_once():
    """A holder is restarted by the operator, gracefully.

    It says that it leaves. Its runner must be granted by another host
    at once, with the room already granted still counted.
    """
    world = grant_world.GrantWorld()
    holder = _settled(world)
    one, _ = _others(holder)
    work = world.acquire(one, 100)
    world.desks[holder].leaving = True
    rest = {name: 'z' for name in _others(holder)}
    for name in HOSTS:
        world.desks[name].set_hosts(rest)
    began_s = world.real_s
    for _ in range(12):
        world.wait(0.25)
        for name in HOSTS:
            world.tick(name)
    next_holder = world.desks[one].holder_of(
        grant_world.RUNNER, world.now_s(one)
    )
    assert next_holder != holder
    (book,) = world.desks[next_holder].books
    assert book.settled
    assert [item.work_id for item in book.grants] == [work]
    assert world.real_s - began_s < 4
    # The asker finds the new holder and keeps its room there.
    due = world.ledgers[one].due(
        world.now_s(one), {grant_world.RUNNER: next_holder}
    )
    assert [line.grant.work_id for line in due] == [work]
    assert world.acquire(one, 100, work_id=work) == work
    assert len(world.desks[next_holder].books[0].grants) == 1


def test_grant_of_a_dead_asker_ends():
    """An entry host takes a slot and dies before it uses it."""
    world = grant_world.GrantWorld()
    holder = _settled(world)
    one, two = _others(holder)
    world.acquire(one, 100)
    world.acquire(one, 100)
    assert world.acquire(two, 100) is None
    world.down.add(one)
    for _ in range(20):
        world.wait(0.5)
        world.report()
        world.tick(holder)
        world.tick(two)
    assert world.acquire(two, 100) is not None


def test_frozen_asker_does_not_start_on_an_old_grant():
    world = grant_world.GrantWorld()
    holder = _settled(world)
    one, _ = _others(holder)
    work = world.acquire(one, 100)
    world.wait(8)
    assert not world.start(one, work, 0.0)


def test_released_slot_is_free_before_the_next_report():
    book = grant_book.GrantBook(
        runner_id='r', fence=1, since_s=0.0, config=grant_world.GRANTS
    )
    world = grant_world.GrantWorld()
    holder = _settled(world)
    work = world.acquire(holder, 100)
    world.start(holder, work, 0.0)
    world.report()
    (book,) = world.desks[holder].books
    assert book.free_slots == 1
    world.finish(work)
    world.release(holder, work)
    assert book.free_slots == 2


def test_denial_says_how_much_is_free():
    world = grant_world.GrantWorld()
    holder = _settled(world)
    asked = grant.Grant(
        work_id='w', run_id='w', asker_id=holder, kv_bytes=5000
    )
    got = world.desks[holder].acquire(
        grant_world.RUNNER, asked, world.now_s(holder)
    )
    assert got == grant.GrantDenied(free_slots=2)


class Grants(stateful.RuleBasedStateMachine):
    """Oracle: the runner, which counts what it has no room for."""

    world_class = grant_world.GrantWorld

    def __init__(self):
        super().__init__()
        self.world = self.world_class()
        self.holder = _settled(self.world)

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        kv_bytes=strategies.sampled_from([100, 600]),
    )
    def acquire(self, name, kv_bytes):
        self.world.acquire(name, kv_bytes)

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        kv_bytes=strategies.sampled_from([100, 600]),
        flight_s=strategies.sampled_from([0.0, 0.9]),
    )
    def acquire_and_start(self, name, kv_bytes, flight_s):
        work_id = self.world.acquire(name, kv_bytes)
        if work_id is not None:
            self.world.start(name, work_id, flight_s)

    @stateful.rule(
        kv_bytes=strategies.sampled_from([100, 600]),
        start=strategies.booleans(),
    )
    def everybody_acquires(self, kv_bytes, start):
        for name in HOSTS:
            work_id = self.world.acquire(name, kv_bytes)
            if work_id is not None and start:
                self.world.start(name, work_id, 0.0)

    @stateful.rule()
    def isolate_those_who_grant(self):
        for name in HOSTS:
            if self.world.desks[name].books:
                self.isolate_and_replace(name=name)

    @stateful.rule(report=strategies.booleans())
    def ticks(self, report):
        for _ in range(6):
            self.world.wait(0.4)
            for name in HOSTS:
                self.world.tick(name)
        if report:
            self.world.report()

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        flight_s=strategies.sampled_from([0.0, 0.5, 1.0]),
    )
    def start_all(self, name, flight_s):
        for work_id in self.world.works(name, started=False):
            self.world.start(name, work_id, flight_s)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def renew(self, name):
        for work_id in self.world.works(name, started=False):
            line = self.world.ledgers[name].find(grant_world.RUNNER, work_id)
            self.world.acquire(name, line.grant.kv_bytes, work_id=work_id)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def finish_one(self, name):
        for work_id in self.world.works(name, started=True)[:1]:
            flying = [order.work_id for order in self.world.orders]
            if work_id in flying:
                continue
            self.world.finish(work_id)
            self.world.release(name, work_id)

    @stateful.rule(
        seconds=strategies.sampled_from([0.25, 1.0, 2.5, 5.0, 6.5]),
        report=strategies.booleans(),
    )
    def wait_and_tick(self, seconds, report):
        self.world.wait(seconds)
        if report:
            self.world.report()
        for name in HOSTS:
            self.world.tick(name)

    @stateful.rule(delay_s=strategies.sampled_from([0.0, 0.5, 0.9]))
    def report(self, delay_s):
        self.world.report(delay_s=delay_s)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def isolate_and_replace(self, name):
        """Cut a host off; the others no longer place runners on it."""
        for other in _others(name):
            self.world.cut |= {(name, other), (other, name)}
        rest = {other: 'z' for other in _others(name)}
        for other in rest:
            self.world.desks[other].set_hosts(rest)

    @stateful.rule()
    def heal(self):
        self.world.cut.clear()
        for name in HOSTS:
            self.world.desks[name].set_hosts(dict.fromkeys(HOSTS, 'z'))

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def crash_and_restart(self, name):
        self.world.restart(name)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def leave(self, name):
        self.world.desks[name].leaving = True
        rest = {other: 'z' for other in _others(name)}
        for other in HOSTS:
            self.world.desks[other].set_hosts(rest)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def come_back(self, name):
        self.world.desks[name].leaving = False

    @stateful.invariant()
    def never_asked_for_more_than_it_has(self):
        assert self.world.over_asked == 0


MACHINE_SETTINGS = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
# A mutant need only be found, not shrunk.
MUTANT_SETTINGS = hypothesis.settings(
    MACHINE_SETTINGS,
    max_examples=3000,
    phases=(hypothesis.Phase.generate,),
    print_blob=False,
)


def test_no_slot_or_byte_is_granted_twice():
    stateful.run_state_machine_as_test(Grants, settings=MACHINE_SETTINGS)


class _HastyVoter(lease_voter.LeaseVoter):
    def holder(self, resource, now_s):
        return None


def test_takeover_without_the_wait_is_caught():
    class World(grant_world.GrantWorld):
        voter_class = _HastyVoter

    class Mutant(Grants):
        world_class = World

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Mutant, settings=MUTANT_SETTINGS)


def test_count_from_an_old_report_is_caught(monkeypatch):
    original = grant_book.GrantBook.on_report

    def on_report(self, report, now_s):
        original(self, report, now_s)
        self._settled = True

    monkeypatch.setattr(grant_book.GrantBook, 'on_report', on_report)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Grants, settings=MUTANT_SETTINGS)
