import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.agreement import cluster as cluster_module

HOSTS = st.integers(0, 4)


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Injects faults in any order and checks the cluster's oracle."""

    size = 3
    cluster_type = cluster_module.Cluster
    rules_run = 0

    def __init__(self):
        super().__init__()
        self.cluster = None

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed):
        self.cluster = self.cluster_type(self.size, seed)
        self.cluster.run(25)

    def host(self, number):
        type(self).rules_run += 1
        return f'c{number % self.size}'

    def command(self, op, first):
        self.cluster.commands += 1
        return json.dumps([op, first, f'by-{self.cluster.commands}']).encode()

    @stateful.rule(count=st.integers(1, 10))
    def run(self, count):
        self.host(0)
        self.cluster.run(count)

    @stateful.rule(key=st.integers(0, 30))
    def claim(self, key):
        self.host(0)
        for host in list(self.cluster.nodes):
            self.cluster.propose(host, self.command('claim', str(key)))
        self.cluster.run(1)

    @stateful.rule(ahead=st.integers(0, 1))
    def submit(self, ahead):
        self.host(0)
        number = self.cluster.newest_manifest + ahead
        for host in list(self.cluster.nodes):
            self.cluster.propose(host, self.command('manifest', number))
        self.cluster.run(1)

    @stateful.rule(number=HOSTS, kept=st.integers(0, 3))
    def crash(self, number, kept):
        self.cluster.crash(self.host(number), kept)

    @stateful.rule(number=HOSTS)
    def restart(self, number):
        self.cluster.start(self.host(number))

    @stateful.rule(number=HOSTS, starts=st.booleans())
    def lose_disk(self, number, starts):
        host = self.host(number)
        if not self.cluster.may_lose_disk(host):
            return
        self.cluster.lose_disk(host)
        if starts:
            self.cluster.start(host)

    @stateful.rule(number=HOSTS)
    def freeze_or_thaw(self, number):
        node = self.cluster.nodes[self.host(number)]
        node.frozen = not node.frozen

    @stateful.rule(number=HOSTS, inward=st.booleans(), outward=st.booleans())
    def cut_off(self, number, inward, outward):
        host = self.host(number)
        for other in self.cluster.nodes:
            if other == host:
                continue
            if inward:
                self.cluster.blocked.add((other, host))
            if outward:
                self.cluster.blocked.add((host, other))

    @stateful.rule(
        strays=st.sampled_from([0.0, 0.5]), count=st.integers(10, 25)
    )
    def isolate_leader_under_load(self, strays, count):
        """Partition the leader while proposals are in flight."""
        self.host(0)
        leader = self.cluster.leader()
        if leader is None:
            return
        before = self.cluster.stray_rate
        self.cluster.stray_rate = strays
        self.cut_off(int(leader.host_id[1:]), True, True)
        self.claim(self.cluster.commands)
        self.cluster.run(2)
        self.cluster.stray_rate = before
        self.cluster.run(count)
        self.claim(self.cluster.commands)
        self.cluster.run(2)
        self.cluster.blocked.clear()

    @stateful.rule(number=HOSTS, other=HOSTS)
    def cut_one_way(self, number, other):
        pair = (self.host(number), f'c{other % self.size}')
        self.cluster.blocked.add(pair)

    @stateful.rule()
    def heal(self):
        self.host(0)
        self.cluster.blocked.clear()

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        duplicates=st.sampled_from([0.0, 0.2]),
        strays=st.sampled_from([0.0, 0.2]),
        jitter=st.sampled_from([0, 3, 8]),
    )
    def network_faults(self, loss, duplicates, strays, jitter):
        self.host(0)
        self.cluster.loss_rate = loss
        self.cluster.duplicate_rate = duplicates
        self.cluster.stray_rate = strays
        self.cluster.max_delay_steps = jitter

    @stateful.rule(number=HOSTS)
    def compact(self, number):
        self.cluster.compact(self.host(number))

    @stateful.rule(number=HOSTS)
    def fail_disk(self, number):
        self.cluster.fail_disk(self.host(number))

    @stateful.rule(number=HOSTS)
    def toggle_disk_stall(self, number):
        self.cluster.stalled.symmetric_difference_update({self.host(number)})

    @stateful.rule(number=HOSTS, count=st.integers(100, 200))
    def miss_hundreds_of_changes(self, number, count):
        """Stop a replica, commit hundreds of changes, and restart it."""
        host = self.host(number)
        self.cluster.crash(host, 0)
        for place in range(count):
            leader = self.cluster.leader()
            if leader is None:
                break
            data = self.command('claim', f'many-{place % 40}')
            self.cluster.propose(leader.host_id, data)
            if place % 50 == 49:
                self.cluster.run(2)
                self.cluster.compact(leader.host_id)
        self.cluster.start(host)

    @stateful.rule(number=HOSTS)
    def second_failure_right_after_repair(self, number):
        """Lose and replace a disk; crash another host right after that."""
        host = self.host(number)
        leader = self.cluster.end_faults()
        if leader.host_id == host:
            return
        self.cluster.compact(leader.host_id)
        self.cluster.lose_disk(host)
        self.cluster.start(host)
        for _ in range(100):
            self.cluster.run(1)
            now = self.cluster.leader()
            if now is not None and self.cluster.is_repaired(now):
                break
        else:
            raise AssertionError('the lost replica was never replaced')
        others = set(self.cluster.nodes) - {now.host_id, host}
        other = min(others)
        self.cluster.crash(other, 0)
        acked = len(self.cluster.acked)
        data = self.command('claim', f'after-repair-{acked}')
        self.cluster.propose(now.host_id, data)
        self.cluster.run(8)
        assert len(self.cluster.acked) > acked, (
            'the repaired group could not commit after the next failure'
        )
        self.cluster.start(other)

    @stateful.rule(number=HOSTS)
    def repair_all_then_lose_next(self, number):
        """Lose two disks, the second after the first was repaired."""
        host = self.host(number)
        for other in (host, f'c{(number + 1) % self.size}'):
            self.cluster.run(20)
            if self.cluster.may_lose_disk(other):
                self.cluster.lose_disk(other)
                self.cluster.start(other)

    @stateful.rule(number=HOSTS)
    def return_after_partition(self, number):
        """End all faults; a host that was partitioned then returns."""
        host = self.host(number)
        leader = self.cluster.end_faults()
        self.cluster.check_reads()
        if leader.host_id == host:
            return
        term = leader.replica.term
        self.cut_off(number, True, True)
        self.cluster.run(25)
        self.cluster.blocked.clear()
        self.cluster.run(15)
        now = self.cluster.leader()
        assert now is leader and now.replica.term == term, (
            'a host that came back deposed the leader'
        )

    @stateful.invariant()
    def reads_hold_all_acknowledged(self):
        if self.cluster is not None:
            self.cluster.check_reads()

    def teardown(self):
        if self.cluster is None:
            return
        self.cluster.end_faults()
        self.cluster.check_reads()


class FiveReplicaMachine(ReplicaMachine):
    size = 5


def _settings(examples):
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=50,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def test_three_replicas_keep_acknowledged_changes():
    ReplicaMachine.rules_run = 0
    stateful.run_state_machine_as_test(ReplicaMachine, settings=_settings(260))
    print(f'3 replicas: {ReplicaMachine.rules_run} rule steps')
    assert ReplicaMachine.rules_run >= 12000, ReplicaMachine.rules_run


def test_five_replicas_keep_acknowledged_changes():
    FiveReplicaMachine.rules_run = 0
    stateful.run_state_machine_as_test(
        FiveReplicaMachine, settings=_settings(170)
    )
    print(f'5 replicas: {FiveReplicaMachine.rules_run} rule steps')
    assert FiveReplicaMachine.rules_run >= 8000, FiveReplicaMachine.rules_run
