"""Records and attachments under crashes, freezes and partitions."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from limpetroute.peers import copy_holder
from limpetroute.peers import copy_sender
from limpetroute.peers import lease_voter
from limpetroute.peers import request_record
from limpetroute.peers import run_end
from tests.peers import record_world

HOSTS = tuple(record_world.RATES)


class Records(stateful.RuleBasedStateMachine):
    """Oracle: the events delivered to each connection of each caller.

    Once a newer connection has received an event, older connections of
    the request must receive none, on any host. A repeat without an event
    id receives no event that was delivered on any connection before.
    """

    world_class = record_world.RecordWorld

    def __init__(self):
        super().__init__()
        self.world = self.world_class()

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def submit_and_read(self, name):
        request_id = self.world.submit(name)
        if request_id is not None:
            self.world.deliver(request_id)

    @stateful.rule()
    def deliver_all(self):
        for request_id in self.world.callers:
            self.world.deliver(request_id)

    @stateful.rule(
        name=strategies.sampled_from(HOSTS),
        back=strategies.sampled_from([0, 1]),
    )
    def resume(self, name, back):
        """Each caller reconnects to a host with its Last-Event-ID."""
        for request_id, caller in self.world.callers.items():
            if not caller.delivered:
                continue
            last = max(-1, max(caller.delivered) - back)
            if self.world.connect(request_id, name, last):
                self.world.deliver(request_id)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def repeat_without_event_id(self, name):
        for request_id, caller in self.world.callers.items():
            before = set(caller.delivered)
            if not self.world.connect(request_id, name, None):
                continue
            first = caller.connections[-1].attachment.next_index
            assert first not in before

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2.1, 6.5]))
    def wait(self, seconds):
        self.world.real_s += seconds

    @stateful.rule()
    def ticks(self):
        for _ in range(4):
            self.world.real_s += 0.5
            self.world.tick_all()

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def isolate(self, name):
        for other in HOSTS:
            if other != name:
                self.world.cut |= {(name, other), (other, name)}

    @stateful.rule(
        one=strategies.sampled_from(HOSTS), two=strategies.sampled_from(HOSTS)
    )
    def cut_one_way(self, one, two):
        if one != two:
            self.world.cut |= {(one, two)}

    @stateful.precondition(lambda self: self.world.callers)
    @stateful.rule(seconds=strategies.sampled_from([3, 12]))
    def owners_are_cut_off_and_callers_go_elsewhere(self, seconds):
        owners = {name for name in HOSTS if self.world.records[name]}
        for name in list(owners)[:1]:
            self.isolate(name=name)
        for _ in range(2 * seconds):
            self.world.real_s += 0.5
            self.world.tick_all()
        for name in HOSTS:
            if name not in owners:
                self.resume(name=name, back=0)
        self.deliver_all()

    @stateful.rule()
    def heal(self):
        self.world.cut.clear()

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def kill_and_restart(self, name):
        self.world.restart(name)

    @stateful.invariant()
    def at_most_one_owner_may_deliver(self):
        for request_id in self.world.callers:
            owners = [
                name
                for name in self.world.hosts_of(request_id)
                if self.world.may_deliver(name)
            ]
            assert len(owners) <= 1, owners


MACHINE_SETTINGS = hypothesis.settings(
    max_examples=80, stateful_step_count=40, deadline=None
)
MUTANT_SETTINGS = hypothesis.settings(
    MACHINE_SETTINGS,
    max_examples=3000,
    phases=(hypothesis.Phase.generate,),
    print_blob=False,
)


def test_one_connection_at_most_receives():
    stateful.run_state_machine_as_test(Records, settings=MACHINE_SETTINGS)


def _is_caught(world_class):
    class Mutant(Records):
        pass

    Mutant.world_class = world_class
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Mutant, settings=MUTANT_SETTINGS)


def test_ignored_attachment_number_is_caught():
    class World(record_world.RecordWorld):
        def is_current(self, record, attachment):
            return record.may_deliver()

    _is_caught(World)


def test_takeover_without_the_wait_is_caught():
    class Voter(lease_voter.LeaseVoter):
        def _may_grant(self, holder_id, item, highest, standing, now_s):
            if standing != holder_id:
                standing = None
            return super()._may_grant(
                holder_id, item, highest, standing, now_s
            )

    class World(record_world.RecordWorld):
        voter_class = Voter

    _is_caught(World)


def test_owner_that_does_not_look_at_its_lease_is_caught():
    class World(record_world.RecordWorld):
        def is_current(self, record, attachment):
            return attachment.number == record.attachment_number

    _is_caught(World)


def _lose_the_owner(world):
    """Kill the host of a caller that has read two events."""
    request_id = world.submit('a')
    world.deliver(request_id)
    world.deliver(request_id)
    (first,) = world.callers[request_id].connections
    assert first.got == ['run1-0', 'run1-1']
    world.restart('a')
    for _ in range(30):
        world.real_s += 0.5
        world.tick_all()
    return request_id


def test_caller_resumes_at_the_successor_after_a_kill():
    """An entry host loses power while a caller reads from it.

    The caller reconnects with the id of its last event. The successor
    must continue the same run with the next event.
    """
    world = record_world.RecordWorld()
    request_id = _lose_the_owner(world)
    (successor,) = world.hosts_of(request_id)
    assert successor != 'a'
    assert world.connect(request_id, successor, 1)
    world.deliver(request_id)
    assert world.callers[request_id].connections[-1].got == ['run1-2']


def test_copy_after_the_first_event_is_caught():
    """The host is killed before it has copied the record.

    With a delivery before the copy, the record is lost with the host,
    and no host has a record for the caller's event id.
    """

    class World(record_world.RecordWorld):
        copies_before_delivery = False

    world = World()
    request_id = _lose_the_owner(world)
    assert world.hosts_of(request_id) == []


def test_blind_repeat_after_a_kill_is_not_given_events_again():
    world = record_world.RecordWorld()
    request_id = _lose_the_owner(world)
    (successor,) = world.hosts_of(request_id)
    record = world.records[successor][request_id]
    assert record.delivery_unsure
    assert not world.connect(request_id, successor, None)


def test_frozen_owner_that_wakes_cannot_write():
    """A host freezes for 20 s during a stream and then continues.

    Meanwhile the caller has resumed at another host. The frozen host
    must write no more events to the old connection.
    """
    world = record_world.RecordWorld()
    request_id = world.submit('a')
    world.deliver(request_id)
    for _ in range(40):
        world.real_s += 0.5
        world.cut = {('a', 'b'), ('b', 'a'), ('a', 'c'), ('c', 'a')}
        world.tick('b')
        world.tick('c')
    names = world.hosts_of(request_id)
    assert len(names) == 2
    (successor,) = [name for name in names if name != 'a']
    assert world.connect(request_id, successor, 0)
    world.deliver(request_id)
    old, new = world.callers[request_id].connections
    assert (old.got, new.got) == (['run1-0'], ['run1-1'])
    world.cut.clear()
    world.tick('a')
    assert world.hosts_of(request_id) == [successor]


def test_second_host_may_fail_once_the_record_was_copied_again():
    """The host with the copy dies, and later the host with the record."""
    world = record_world.RecordWorld()
    request_id = world.submit('a')
    world.deliver(request_id)
    first_successor = world.senders['a'].successor_id
    world.restart(first_successor)
    for _ in range(20):
        world.real_s += 0.5
        world.tick_all()
    assert world.senders['a'].is_copied(request_id)
    world.restart('a')
    for _ in range(30):
        world.real_s += 0.5
        world.tick_all()
    assert len(world.hosts_of(request_id)) == 1


def test_old_copy_gives_way_to_the_newer_one():
    """The link to the first successor breaks; another one is chosen.

    When the owner dies later, the first successor still has an outdated
    copy. It must not take over as well.
    """
    world = record_world.RecordWorld()
    request_id = world.submit('a')
    world.deliver(request_id)
    first = world.senders['a'].successor_id
    world.cut = {('a', first), (first, 'a')}
    for _ in range(8):
        world.real_s += 0.5
        world.tick_all()
    second = world.senders['a'].successor_id
    assert second != first
    world.cut = set()
    world.restart('a')
    for _ in range(30):
        world.real_s += 0.5
        world.tick_all()
    assert world.hosts_of(request_id) == [second]
    assert len(world.copies[first]) == 0


def test_old_copy_gives_way_though_the_first_votes_are_lost():
    """The first votes for the host with the outdated copy are lost.

    The voters have already stored its lease, and one of them, the
    restarted owner, has lost its state. There must be exactly one new
    owner, whichever copy it continues from.
    """
    world = record_world.RecordWorld()
    request_id = world.submit('a')
    world.deliver(request_id)
    first = world.senders['a'].successor_id
    world.cut = {('a', first), (first, 'a')}
    for _ in range(8):
        world.real_s += 0.5
        world.tick_all()
    second = world.senders['a'].successor_id
    world.restart('a')
    owner = next(iter(world.copies[first].owners))
    world.cut = {(second, first), ('a', first)}
    for _ in range(16):
        world.real_s += 0.5
        world.tick(first)
    assert world.holders[first].held(owner, world.now_s(first)) is None
    world.cut = set()
    for _ in range(40):
        world.real_s += 0.5
        world.tick_all()
    assert len(world.hosts_of(request_id)) == 1
    assert all(owner not in got.owners for got in world.copies.values())


def test_attachment_of_a_replaced_host_is_not_current():
    record = request_record.RequestRecord(
        request_id='r', team='t', key='k', body_digest='d', run_id='run'
    )
    attachment = record.attach()
    assert record.is_current(attachment)
    record.may_deliver = lambda: False
    assert not record.is_current(attachment)


def test_end_that_may_have_been_delivered_is_not_delivered_again():
    """A host is lost right after it wrote the end of an answer.

    The caller may have read it. The successor must treat the end as
    delivered, so that a repeat does not receive it a second time.
    """
    world = record_world.RecordWorld()
    request_id = world.submit('a')
    world.deliver(request_id)
    record = world.records['a'][request_id]
    record.finish(run_end.RunEnd(kind=run_end.EndKind.COMPLETED))
    record.closing = True
    world.send_copies('a')
    world.restart('a')
    for _ in range(30):
        world.real_s += 0.5
        world.tick_all()
    (successor,) = world.hosts_of(request_id)
    assert world.records[successor][request_id].end_delivered


def test_copies_are_found_by_each_name_until_they_are_dropped():
    sender = copy_sender.CopySender(owner='a@1.0')
    holder = copy_holder.CopyHolder()
    record = request_record.RequestRecord(
        request_id='req', team='t', key='k', body_digest='d', run_id='run'
    )
    sender.set_successor('b')
    sender.add(
        copy_sender.OwnRecord(
            record=record, request={}, runner=lambda: {'run_id': 'run.1'}
        )
    )
    batch = sender.batch()
    sender.on_reply(batch, holder.take(batch), 'b')
    for name in ('req', 'k', 'run'):
        assert holder.find('t', name) is not None
        assert holder.find('other', name) is None
    assert holder.open_runs() == {'run.1'}
    record.finish(run_end.RunEnd(kind=run_end.EndKind.COMPLETED))
    record.closing = True
    batch = sender.batch()
    sender.on_reply(batch, holder.take(batch), 'b')
    assert holder.open_runs() == set()
    assert sender.batch() is None
    assert sender.is_copied('req')
    sender.remove('req')
    holder.take(sender.batch())
    assert holder.find('t', 'k') is None
    assert len(holder) == 0
