"""Leases of leaders, with messages delivered by hand."""

import random

import pytest

from limpetroute import agreement
from limpetroute.agreement import messages

TIMINGS = agreement.Timings(heartbeat_s=0.2, election_s=1.0, drift=0.05)
LEADER, VOTER, RIVAL = 'a.0', 'b.0', 'c.0'


class Shortest(random.Random):
    """Gives each replica the shortest election timeout."""

    def random(self):
        return 0.0


class Group:
    """Three replicas whose disks write at once; messages wait in a list."""

    def __init__(self):
        saved = agreement.initial_state({host: f'{host}.0' for host in 'abc'})
        self.replicas = {
            name: agreement.Replica(
                replica_id=name,
                timings=TIMINGS,
                saved=saved,
                rng=Shortest(),
                now_s=0.0,
            )
            for name in (LEADER, VOTER, RIVAL)
        }
        self.waiting = []

    def step(self, name, event, now_s):
        effects = self.replicas[name].step(event, now_s)
        self.waiting += effects.sends
        if effects.write_id is not None:
            written = agreement.Persisted(write_id=effects.write_id)
            self.step(name, written, now_s)

    def tick(self, name, now_s):
        self.step(name, agreement.Tick(), now_s)

    def deliver(self, sender, to, kind, now_s):
        """Deliver the messages of one kind from one replica to another."""
        due = [
            one
            for one in self.waiting
            if (one.sender, one.to) == (sender, to)
            and isinstance(one.message, kind)
        ]
        assert due
        self.waiting = [one for one in self.waiting if one not in due]
        for one in due:
            self.step(to, agreement.Received(envelope=one), now_s)

    def deliver_all(self, sender, to, now_s):
        """Deliver what waits from one replica to another, if anything."""
        kinds = {
            type(one.message)
            for one in self.waiting
            if (one.sender, one.to) == (sender, to)
        }
        for kind in kinds:
            self.deliver(sender, to, kind, now_s)

    def holders(self, now_s):
        return [
            name
            for name, replica in self.replicas.items()
            if replica.lease_valid(now_s)
        ]


def _elect(group):
    """Elect the first leader at 10 s."""
    group.tick(LEADER, 10.0)
    group.deliver(LEADER, VOTER, messages.PreVoteRequest, 10.0)
    group.deliver(VOTER, LEADER, messages.PreVoteReply, 10.0)
    group.deliver(LEADER, VOTER, messages.VoteRequest, 10.0)
    group.deliver(VOTER, LEADER, messages.VoteReply, 10.0)
    for other in (VOTER, RIVAL):
        group.deliver(LEADER, other, messages.AppendRequest, 10.0)
    group.deliver(VOTER, LEADER, messages.AppendReply, 10.0)
    assert group.holders(10.1) == [LEADER]
    group.waiting.clear()


# Guards against a second lease, by the vote of a replica that has answered the
# leader just before, whether or not it knows of the higher term.
@pytest.mark.parametrize('knows_term', [False, True])
def test_a_replica_that_answered_the_leader_elects_no_other(knows_term):
    group = Group()
    _elect(group)
    group.tick(LEADER, 10.9)
    # Both others lack the leader's last messages.
    group.tick(RIVAL, 11.05)
    group.tick(VOTER, 11.05)
    group.deliver(RIVAL, VOTER, messages.PreVoteRequest, 11.05)
    group.deliver(VOTER, RIVAL, messages.PreVoteReply, 11.05)
    assert group.replicas[RIVAL].role == 'candidate'
    group.deliver(LEADER, VOTER, messages.AppendRequest, 11.06)
    group.deliver(VOTER, LEADER, messages.AppendReply, 11.06)
    assert group.holders(11.1) == [LEADER]
    if knows_term:
        group.deliver(VOTER, RIVAL, messages.PreVoteRequest, 11.1)
        group.deliver(RIVAL, VOTER, messages.PreVoteReply, 11.1)
        assert group.replicas[VOTER].term == group.replicas[RIVAL].term
    group.deliver(RIVAL, VOTER, messages.VoteRequest, 11.1)
    group.deliver_all(VOTER, RIVAL, 11.1)
    group.deliver_all(RIVAL, VOTER, 11.1)
    group.deliver_all(VOTER, RIVAL, 11.1)
    assert group.holders(11.1) == [LEADER]
