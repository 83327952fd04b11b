"""Leases under partitions, restarts and clock drift."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from limpetroute.peers import lease_config
from limpetroute.peers import lease_holder
from limpetroute.peers import lease_voter

HOSTS = ('a', 'b', 'c')
CONFIG = lease_config.LeaseConfig(duration_s=4.5, renew_s=1.5, drift=0.05)
RATES = {'a': 0.95, 'b': 1.0, 'c': 1.05}
RESOURCE = 'runner:r1'


class Leases(stateful.RuleBasedStateMachine):
    """Oracle: at any moment of real time, at most one host has the lease."""

    voter_class = lease_voter.LeaseVoter

    def __init__(self):
        super().__init__()
        self.real_s = 100.0
        self.cut = set()
        self.late = []
        self.voters = {name: self._voter(name) for name in HOSTS}
        self.real_s += 2 * CONFIG.duration_s
        self.holders = {name: self._holder(name) for name in HOSTS}
        self.starts = 1

    def _voter(self, name):
        return self.voter_class(
            voter_id=name, config=CONFIG, started_s=self._now_s(name)
        )

    def _holder(self, name):
        return lease_holder.LeaseHolder(
            holder_id=name, voters=HOSTS, config=CONFIG
        )

    def _now_s(self, name):
        return self.real_s * RATES[name]

    def _request(self, name, voter, request):
        if (name, voter) in self.cut:
            return
        vote = self.voters[voter].vote(request, self._now_s(voter))
        if (voter, name) in self.cut:
            return
        self.holders[name].on_vote(vote, self._now_s(name))

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def want(self, name):
        self.holders[name].want(RESOURCE, fence_floor=self.starts)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def want_and_request(self, name):
        self.holders[name].want(RESOURCE, fence_floor=self.starts)
        self.tick(name=name, late=False)

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def unwant(self, name):
        self.holders[name].unwant(RESOURCE)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.7, 1.6, 4.3, 5.0]))
    def wait(self, seconds):
        self.real_s += seconds

    @stateful.rule(
        name=strategies.sampled_from(HOSTS), late=strategies.booleans()
    )
    def tick(self, name, late):
        for voter, request in self.holders[name].tick(self._now_s(name)):
            if late:
                self.late.append((name, voter, request))
                continue
            self._request(name, voter, request)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(data=strategies.data())
    def deliver_late(self, data):
        index = data.draw(strategies.integers(0, len(self.late) - 1))
        self._request(*self.late.pop(index))

    @stateful.rule(
        one=strategies.sampled_from(HOSTS), two=strategies.sampled_from(HOSTS)
    )
    def cut_link(self, one, two):
        if one != two:
            self.cut |= {(one, two)}

    @stateful.rule()
    def heal(self):
        self.cut.clear()

    @stateful.rule(name=strategies.sampled_from(HOSTS))
    def restart(self, name):
        self.starts += 1000
        self.voters[name] = self._voter(name)
        self.holders[name] = self._holder(name)

    @stateful.invariant()
    def at_most_one_holder(self):
        users = []
        for name in HOSTS:
            got = self.holders[name].held(RESOURCE, self._now_s(name))
            if got is not None:
                users.append((name, got.fence))
        assert len(users) <= 1, users


MACHINE_SETTINGS = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
# A failing example of a mutant need not be shrunk.
MUTANT_SETTINGS = hypothesis.settings(
    MACHINE_SETTINGS,
    max_examples=3000,
    phases=(hypothesis.Phase.generate,),
    print_blob=False,
)


def test_one_holder_at_most():
    stateful.run_state_machine_as_test(Leases, settings=MACHINE_SETTINGS)


class _HastyVoter(lease_voter.LeaseVoter):
    """Votes for another host before its promise has expired."""

    def _may_grant(self, holder_id, item, highest, standing, now_s):
        if standing != holder_id:
            standing = None
        return super()._may_grant(holder_id, item, highest, standing, now_s)


class _RestartedVoter(lease_voter.LeaseVoter):
    """Votes right after a restart, without its former promises."""

    def __init__(self, **kwargs):
        super().__init__(**{**kwargs, 'started_s': -100.0})


@pytest.mark.parametrize('voter', [_HastyVoter, _RestartedVoter])
def test_takeover_without_the_wait_is_caught(voter):
    class Mutant(Leases):
        voter_class = voter

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            Mutant,
            settings=MUTANT_SETTINGS,
        )


def test_late_release_of_an_earlier_holding_frees_nothing():
    """A host releases a runner's lease and requests it again at once.

    The release is delayed and arrives after the new promises. It must
    not end them, or two hosts would hold the lease.
    """
    state = Leases()
    state.want(name='a')
    state.unwant(name='a')
    state.tick(name='a', late=True)
    state.want_and_request(name='a')
    for _ in range(2):
        state._request(*state.late.pop(0))
    state.want_and_request(name='b')
    state.tick(name='b', late=False)
    state.at_most_one_holder()
    assert state.holders['a'].held(RESOURCE, state._now_s('a')) is not None


def _settle(holders, voters, now_s):
    for holder in holders:
        for voter, request in holder.tick(now_s):
            holder.on_vote(voters[voter].vote(request, now_s), now_s)


def test_released_lease_is_free_at_once_with_a_higher_number():
    voters = {
        name: lease_voter.LeaseVoter(
            voter_id=name, config=CONFIG, started_s=0.0
        )
        for name in HOSTS
    }
    one, two = (
        lease_holder.LeaseHolder(holder_id=name, voters=HOSTS, config=CONFIG)
        for name in ('a', 'b')
    )
    one.want(RESOURCE, fence_floor=7)
    _settle([one], voters, 10.0)
    first = one.held(RESOURCE, 10.0)
    assert first.fence == 7
    two.want(RESOURCE, fence_floor=1)
    _settle([two], voters, 10.1)
    assert two.held(RESOURCE, 10.1) is None
    assert two.other_holder(RESOURCE) == 'a'
    one.unwant(RESOURCE)
    _settle([one], voters, 10.2)
    for step in range(3):
        _settle([two], voters, 12.0 + step)
    second = two.held(RESOURCE, 14.0)
    assert second.fence == 8
    assert second.previous_fence == 7


def test_lease_expires_for_its_holder_before_it_does_for_the_voter():
    voter = lease_voter.LeaseVoter(voter_id='a', config=CONFIG, started_s=0.0)
    holder = lease_holder.LeaseHolder(
        holder_id='a', voters=('a',), config=CONFIG
    )
    holder.want(RESOURCE, fence_floor=1)
    _settle([holder], {'a': voter}, 10.0)
    until_s = holder.held(RESOURCE, 10.0).until_s
    assert until_s < 14.5
    assert voter.holder(RESOURCE, until_s) == 'a'


def test_ranking_moves_only_the_names_of_the_removed_host():
    from limpetroute.peers import rendezvous

    hosts = [f'h{n}' for n in range(7)]
    rng = random.Random(3)
    names = [f'runner-{rng.random()}' for _ in range(400)]
    before = {name: rendezvous.first(name, hosts) for name in names}
    after = {name: rendezvous.first(name, hosts[1:]) for name in names}
    moved = [name for name in names if before[name] != after[name]]
    assert all(before[name] == 'h0' for name in moved)
    counts = [list(before.values()).count(host) for host in hosts]
    assert min(counts) > 30
