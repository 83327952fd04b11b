"""Capacity at a runner is never granted twice."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from limpetroute.peers import grant
from limpetroute.peers import grant_book
from limpetroute.peers import lease_voter
from tests.peers import grant_world

HOSTS = tuple(grant_world.RATES)


def _wait_until_settled(world):
    """Run until a host grants capacity; return its name."""
    for _ in range(60):
        world.wait(0.5)
        world.report()
        for name in HOSTS:
            world.tick(name)
        for name in HOSTS:
            if name in world.down:
                continue
            for book in world.coordinators[name].books:
                if book.settled:
                    return name
    raise AssertionError('no host grants capacity')


def _others(name):
    return [other for other in HOSTS if other != name]


def test_one_host_grants_for_all_hosts():
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    one, two = _others(holder)
    assert world.acquire(one, 100) is not None
    assert world.acquire(two, 100) is not None
    assert world.acquire(holder, 100) is None


def test_bytes_run_out_before_slots():
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    assert world.acquire(holder, 900) is not None
    assert world.acquire(holder, 101) is None
    assert world.acquire(holder, 100) is not None


def test_new_holder_counts_what_the_dead_one_granted():
    """A lease holder that has granted both slots loses power.

    The runs continue at the runner. The next holder must find the
    runner full, although it received no book.
    """
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    one, _ = _others(holder)
    for _ in range(2):
        work = world.acquire(one, 100)
        assert world.start(one, work, 0.0)
    world.down.add(holder)
    remaining = {name: 'z' for name in _others(holder)}
    for name in remaining:
        world.coordinators[name].set_hosts(remaining)
    next_holder = _wait_until_settled(world)
    assert next_holder != holder
    assert world.acquire(one, 100) is None
    world.finish(work)
    world.release(one, work)
    world.wait(2)
    world.report()
    assert world.acquire(one, 100) is not None


def test_takeover_is_later_than_the_lease_and_from_a_new_report():
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    world.down.add(holder)
    remaining = {name: 'z' for name in _others(holder)}
    for name in remaining:
        world.coordinators[name].set_hosts(remaining)
    began_s = world.real_s
    _wait_until_settled(world)
    waited_s = world.real_s - began_s
    assert 4.0 < waited_s < 12.0


def test_leaving_holder_hands_over_at_once():
    """An operator restarts a lease holder gracefully.

    The holder announces that it is leaving. Another host must grant
    capacity at the runner at once, and count the existing grants.
    """
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    one, _ = _others(holder)
    work = world.acquire(one, 100)
    world.coordinators[holder].leaving = True
    remaining = {name: 'z' for name in _others(holder)}
    for name in HOSTS:
        world.coordinators[name].set_hosts(remaining)
    began_s = world.real_s
    for _ in range(12):
        world.wait(0.25)
        for name in HOSTS:
            world.tick(name)
    next_holder = world.coordinators[one].holder_of(
        grant_world.RUNNER, world.now_s(one)
    )
    assert next_holder != holder
    (book,) = world.coordinators[next_holder].books
    assert book.settled
    assert [item.work_id for item in book.grants] == [work]
    assert world.real_s - began_s < 4
    # The entry host reclaims its grant at the new holder.
    due = world.ledgers[one].due(
        world.now_s(one), {grant_world.RUNNER: next_holder}
    )
    assert [line.grant.work_id for line in due] == [work]
    assert world.acquire(one, 100, work_id=work) == work
    assert len(world.coordinators[next_holder].books[0].grants) == 1


def test_grant_of_a_dead_host_expires():
    """An entry host acquires slots and dies before it uses them."""
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
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


def test_frozen_host_does_not_start_on_an_old_grant():
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    one, _ = _others(holder)
    work = world.acquire(one, 100)
    world.wait(8)
    assert not world.start(one, work, 0.0)


def test_released_slot_is_free_before_the_next_report():
    book = grant_book.GrantBook(
        runner_id='r', fence=1, since_s=0.0, config=grant_world.GRANTS
    )
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    work = world.acquire(holder, 100)
    world.start(holder, work, 0.0)
    world.report()
    (book,) = world.coordinators[holder].books
    assert book.free_slots == 1
    world.finish(work)
    world.release(holder, work)
    assert book.free_slots == 2


def test_denial_reports_the_free_slots():
    world = grant_world.GrantWorld()
    holder = _wait_until_settled(world)
    asked = grant.Grant(
        work_id='w', run_id='w', asker_id=holder, kv_bytes=5000
    )
    got = world.coordinators[holder].acquire(
        grant_world.RUNNER, asked, world.now_s(holder)
    )
    assert got == grant.GrantDenied(free_slots=2)


class Grants(stateful.RuleBasedStateMachine):
    """Oracle: the runner, which counts orders beyond its capacity."""

    world_class = grant_world.GrantWorld

    def __init__(self):
        super().__init__()
        self.world = self.world_class()
        self.holder = _wait_until_settled(self.world)

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
    def all_hosts_acquire(self, kv_bytes, start):
        for name in HOSTS:
            work_id = self.world.acquire(name, kv_bytes)
            if work_id is not None and start:
                self.world.start(name, work_id, 0.0)

    @stateful.rule()
    def isolate_granting_hosts(self):
        for name in HOSTS:
            if self.world.coordinators[name].books:
                self.isolate_and_replace(name=name)

    @stateful.rule(kv_bytes=strategies.sampled_from([100, 600]))
    def holder_is_cut_off_and_all_hosts_start(self, kv_bytes):
        self.isolate_granting_hosts()
        self.ticks(report=True)
        self.all_hosts_acquire(kv_bytes=kv_bytes, start=True)

    @stateful.rule(kv_bytes=strategies.sampled_from([100, 600]))
    def holder_is_cut_off_after_all_hosts_started(self, kv_bytes):
        self.all_hosts_acquire(kv_bytes=kv_bytes, start=True)
        self.isolate_granting_hosts()
        for _ in range(4):
            self.ticks(report=False)
        self.all_hosts_acquire(kv_bytes=kv_bytes, start=True)

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
        """Cut a host off; the others assign its runners to other hosts."""
        for other in _others(name):
            self.world.cut |= {(name, other), (other, name)}
        remaining = {other: 'z' for other in _others(name)}
        for other in remaining:
            self.world.coordinators[other].set_hosts(remaining)

    @stateful.rule()
    def heal(self):
        self.world.cut.clear()
        for name in HOSTS:
            self.world.coordinators[name].set_hosts(dict.fromkeys(HOSTS, 'z'))

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def crash_and_restart(self, name):
        self.world.restart(name)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def leave(self, name):
        self.world.coordinators[name].leaving = True
        remaining = {other: 'z' for other in _others(name)}
        for other in HOSTS:
            self.world.coordinators[other].set_hosts(remaining)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def come_back(self, name):
        self.world.coordinators[name].leaving = False

    @stateful.invariant()
    def runner_is_never_overfilled(self):
        assert self.world.rejected_orders == 0


MACHINE_SETTINGS = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
# A failing example of a mutant need not be shrunk.
MUTANT_SETTINGS = hypothesis.settings(
    MACHINE_SETTINGS,
    max_examples=3000,
    phases=(hypothesis.Phase.generate,),
    print_blob=False,
)


def test_no_slot_or_byte_is_granted_twice():
    stateful.run_state_machine_as_test(Grants, settings=MACHINE_SETTINGS)


class _HastyVoter(lease_voter.LeaseVoter):
    """Votes for another host before its promise has expired."""

    def _may_grant(self, holder_id, item, highest, standing, now_s):
        if standing != holder_id:
            standing = None
        return super()._may_grant(holder_id, item, highest, standing, now_s)


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
