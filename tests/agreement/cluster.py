"""Simulated cluster: replicas, disks, clocks and a network in one loop."""

import dataclasses
import json
import random

from limpetroute import agreement
from limpetroute.agreement import effects as effects_module
from limpetroute.agreement import messages

MICRO_STEP_S = 0.1
# Time to send a snapshot, which is large, over a slow link.
SNAPSHOT_S = 1.2
# Greatest delay of the extra copy of a message.
STRAY_STEPS = 60
TIMINGS = agreement.Timings(
    heartbeat_s=0.2, election_s=1.0, drift=0.05, snapshot_timeout_s=3.0
)


class App:
    """State machine of manifests and claims, small but able to show faults."""

    def __init__(self, data=b''):
        state = json.loads(data) if data else {'m': [0, ''], 'c': {}}
        self.manifest = state['m']
        self.claims = state['c']

    def dump(self):
        return json.dumps({'m': self.manifest, 'c': self.claims}).encode()

    def apply(self, data):
        op, first, second = json.loads(data)
        if op == 'claim':
            return self.claims.setdefault(first, second) == second
        if first > self.manifest[0]:
            self.manifest = [first, second]
            return True
        return self.manifest == [first, second]


class Disk:
    """Simulated disk with synced state and pending writes."""

    def __init__(self, saved):
        self.saved = saved
        self.pending = []

    def sync(self, count):
        last = 0
        for write_id, writes in self.pending[:count]:
            for write in writes:
                self._put(write)
            last = write_id
        del self.pending[:count]
        return last

    def crash(self, kept):
        """Lose all unsynced writes except the first ``kept``.

        The disk layer discards a torn write, that is a batch that was
        written in part, so such a batch counts as lost.
        """
        self.sync(kept)
        self.pending.clear()

    def _put(self, write):
        old = self.saved
        if isinstance(write, effects_module.SaveVote):
            self.saved = dataclasses.replace(
                old, term=write.term, voted_for=write.voted_for
            )
        elif isinstance(write, effects_module.SaveEntries):
            first = write.entries[0].index
            kept = old.entries
            if kept and kept[-1].index >= first:
                kept = kept[: max(0, first - kept[0].index)]
            self.saved = dataclasses.replace(old, entries=kept + write.entries)
        else:
            kept = ()
            if write.keeps_log:
                last = write.snapshot.last_index
                kept = tuple(e for e in old.entries if e.index > last)
            self.saved = dataclasses.replace(
                old, snapshot=write.snapshot, entries=kept
            )


class Node:
    """One control host."""

    def __init__(self, host_id, replica_id, saved, rate):
        self.host_id = host_id
        self.replica_id = replica_id
        self.disk = Disk(saved)
        self.rate = rate
        self.replica = None
        self.frozen = False
        self.incarnation = 0
        self.app = App()


class Cluster:
    """Drives replicas and checks them against an oracle.

    The oracle consists of dicts: ``chosen`` (entry by index), ``acked``
    (term by index), ``claims`` and ``manifests`` (winner by name).
    """

    replica_type = agreement.Replica
    syncs_before_ack = True
    renames_lost_disk = True
    # Number of hosts that bootstrap the group; None for all of them.
    bootstrap_count = None

    def __init__(self, size, seed):
        self.size = size
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.timings = dataclasses.replace(TIMINGS, min_voters=size // 2 + 1)
        self.in_flight = []
        self.blocked = set()
        # Hosts whose disks complete no write at present.
        self.stalled = set()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.max_delay_steps = 0
        self.stray_rate = 0.0
        self.lost_replica_ids = set()
        self.chosen = {}
        self.acked = {}
        self.claims = {}
        self.manifests = {}
        self.newest_manifest = 0
        self.leaders = {}
        self.proposed = {}
        self.steps = 0
        self.commands = 0
        hosts = [f'c{place}' for place in range(size)]
        bootstrap_hosts = hosts[: self.bootstrap_count]
        first_state = agreement.initial_state(
            {host: f'{host}.0' for host in bootstrap_hosts}
        )
        self.nodes = {}
        drift = self.timings.drift
        for host in hosts:
            rate = 1 + self.rng.uniform(-drift, drift)
            saved = (
                first_state
                if host in bootstrap_hosts
                else agreement.SavedState()
            )
            self.nodes[host] = Node(host, f'{host}.0', saved, rate)
        for host in hosts:
            self.start(host)

    # Hosts

    def start(self, host):
        node = self.nodes[host]
        if node.replica is not None:
            return
        node.incarnation += 1
        node.frozen = False
        node.app = App(node.disk.saved.snapshot.data)
        node.replica = self.replica_type(
            replica_id=node.replica_id,
            timings=self.timings,
            saved=node.disk.saved,
            rng=random.Random(self.rng.random()),
            now_s=self.clock(node),
        )

    def crash(self, host, kept):
        node = self.nodes[host]
        if node.replica is None:
            return
        node.replica = None
        node.disk.crash(kept)
        self.proposed = {
            k: v for k, v in self.proposed.items() if k[0] != host
        }

    def lose_disk(self, host):
        node = self.nodes[host]
        self.crash(host, 0)
        self.lost_replica_ids.add(node.replica_id)
        if self.renames_lost_disk:
            number = int(node.replica_id.split('.')[1]) + 1
            node.replica_id = f'{host}.{number}'
        node.disk = Disk(agreement.SavedState())

    def may_lose_disk(self, host):
        """Whether the group must survive the loss of this disk."""
        leader = self.leader()
        if leader is None:
            return False
        replica = leader.replica
        if replica.log.membership_index > replica.commit_index:
            return False
        voters = replica.membership.voters
        lost = [
            v
            for v in voters
            if v in self.lost_replica_ids
            and (
                self.renames_lost_disk or not self._has_all_commits(replica, v)
            )
        ]
        if self.nodes[host].replica_id not in voters:
            return True
        return len(lost) + 1 <= len(voters) - replica.membership.quorum

    def _all_have_all_commits(self, replica):
        return all(
            self._has_all_commits(replica, v)
            for v in replica.membership.voters
        )

    def _has_all_commits(self, replica, voter):
        match = replica.match_index(voter)
        return match is not None and match >= replica.commit_index

    def fail_disk(self, host):
        node = self.nodes[host]
        if node.replica is not None and not node.frozen:
            event = agreement.PersistFailed(reason='disk full')
            self.step(node, event)

    def clock(self, node):
        return 1000.0 + self.now_s * node.rate

    def leader(self):
        """Return the node that may answer reads, if there is one."""
        for node in self.running():
            if node.replica.can_read(self.clock(node)):
                return node
        return None

    def running(self):
        for node in self.nodes.values():
            if node.replica is not None and not node.frozen:
                yield node

    # Steps

    def step(self, node, event):
        self.steps += 1
        replica = node.replica
        was_leader = replica.role is agreement.Role.LEADER
        effects = replica.step(event, self.clock(node))
        if effects.write_id is not None:
            node.disk.pending.append((effects.write_id, effects.writes))
        if effects.restored is not None:
            node.app = App(effects.restored.data)
        for entry in effects.committed:
            self._committed(node, entry)
        if replica.role is agreement.Role.LEADER and not was_leader:
            self._check_new_leader(node)
        if replica.role is agreement.Role.FAILED:
            assert replica.failure == 'disk full', replica.failure
        for envelope in effects.sends:
            self._send(node, envelope)
        if not self.syncs_before_ack and effects.write_id is not None:
            self.step(node, agreement.Persisted(write_id=effects.write_id))
        return effects

    def run(self, count):
        for _ in range(count):
            self.now_s += MICRO_STEP_S
            self._deliver()
            for node in list(self.running()):
                self.step(node, agreement.Tick())
                self._sync(node)
            self._replace_lost()
            self._check_leases()

    def propose(self, host, data):
        node = self.nodes[host]
        if node.replica is None or node.frozen:
            return
        effects = self.step(node, agreement.Propose(commands=(data,)))
        if isinstance(effects.proposal, agreement.Appended):
            key = (host, node.incarnation, effects.proposal.first_index)
            self.proposed[key] = effects.proposal.term

    def compact(self, host):
        node = self.nodes[host]
        if node.replica is None or node.frozen:
            return
        event = agreement.Compact(
            index=node.replica.applied_index, data=node.app.dump()
        )
        self.step(node, event)

    def end_faults(self):
        """End all faults and run until the group is whole again."""
        self.blocked.clear()
        self.stalled.clear()
        self.loss_rate = self.duplicate_rate = self.stray_rate = 0.0
        self.max_delay_steps = 0
        for node in self.nodes.values():
            node.frozen = False
            failed = (
                node.replica is not None
                and node.replica.role is agreement.Role.FAILED
            )
            if failed:
                self.crash(node.host_id, 0)
            self.start(node.host_id)
        for _ in range(60):
            self.run(3)
            leader = self.leader()
            if leader is not None and self.is_fully_repaired(leader):
                return leader
        raise AssertionError('no leader with all replicas after the faults')

    def is_repaired(self, leader):
        """Whether every host's replica is a voter, as status shows it."""
        replica = leader.replica
        ids = {node.replica_id for node in self.nodes.values()}
        if replica.log.membership_index > replica.commit_index:
            return False
        return set(replica.membership.voters) == ids

    def is_fully_repaired(self, leader):
        return self.is_repaired(leader) and self._all_have_all_commits(
            leader.replica
        )

    def _deliver(self):
        due = [item for item in self.in_flight if item[0] <= self.now_s]
        self.in_flight = [
            item for item in self.in_flight if item[0] > self.now_s
        ]
        if self.max_delay_steps:
            self.rng.shuffle(due)
        for _, to_host, envelope in due:
            node = self.nodes[to_host]
            if node.replica is None:
                continue
            if node.frozen:
                self.in_flight.append((self.now_s, to_host, envelope))
                continue
            self.step(node, agreement.Received(envelope=envelope))

    def _send(self, node, envelope):
        to_host = envelope.to.split('.')[0]
        if self.stray_rate and self.rng.random() < self.stray_rate:
            late_s = self.rng.randrange(STRAY_STEPS) * MICRO_STEP_S
            self.in_flight.append((self.now_s + late_s, to_host, envelope))
        if (node.host_id, to_host) in self.blocked:
            return
        if self.loss_rate and self.rng.random() < self.loss_rate:
            return
        copies = 1
        if self.duplicate_rate and self.rng.random() < self.duplicate_rate:
            copies = 2
        for _ in range(copies):
            late = 1 + (
                self.rng.randrange(self.max_delay_steps)
                if self.max_delay_steps
                else 0
            )
            due_s = self.now_s + late * MICRO_STEP_S / 2
            if isinstance(envelope.message, messages.SnapshotRequest):
                due_s += SNAPSHOT_S
            self.in_flight.append((due_s, to_host, envelope))

    def _sync(self, node):
        count = len(node.disk.pending)
        if count and self.max_delay_steps:
            count = self.rng.randint(0, count)
        if not count or node.replica is None:
            return
        if node.host_id in self.stalled:
            return
        if node.replica.role is agreement.Role.FAILED:
            return
        if not self.syncs_before_ack:
            if self.rng.random() < 0.1:
                node.disk.sync(count)
            return
        write_id = node.disk.sync(count)
        self.step(node, agreement.Persisted(write_id=write_id))

    def _replace_lost(self):
        for leader in list(self.running()):
            if leader.replica.role is not agreement.Role.LEADER:
                continue
            for node in list(self.running()):
                if (node.host_id, leader.host_id) in self.blocked:
                    continue
                change = agreement.next_change(
                    leader.replica.membership,
                    host_id=node.host_id,
                    replica_id=node.replica_id,
                )
                if change is not None:
                    self.step(leader, change)
                    break

    # Oracle

    def _committed(self, node, entry):
        before = self.chosen.setdefault(entry.index, (entry.term, entry.data))
        assert before == (entry.term, entry.data), (
            f'entry {entry.index} was acknowledged and then replaced'
        )
        if entry.kind is not agreement.EntryKind.COMMAND:
            return
        won = node.app.apply(entry.data)
        key = (node.host_id, node.incarnation, entry.index)
        term = self.proposed.pop(key, None)
        if term != entry.term:
            return
        self.acked[entry.index] = entry.term
        op, first, second = json.loads(entry.data)
        if not won:
            return
        winners = self.claims if op == 'claim' else self.manifests
        assert winners.setdefault(first, second) == second, (
            f'{op} {first} was granted twice'
        )
        if op == 'manifest':
            assert first >= self.newest_manifest, 'a revision went back'
            self.newest_manifest = first

    def _check_new_leader(self, node):
        replica = node.replica
        other = self.leaders.setdefault(replica.term, node.replica_id)
        assert other == node.replica_id, f'two leaders of {replica.term}'
        for index, term in self.acked.items():
            if index <= replica.log.base_index:
                continue
            assert replica.log.term_at(index) == term, (
                f'a leader without the acknowledged entry {index}'
            )

    def _check_leases(self):
        holders = [
            node.replica_id
            for node in self.nodes.values()
            if node.replica is not None
            and node.replica.lease_valid(self.clock(node))
        ]
        assert len(holders) <= 1, f'two leases: {holders}'

    def check_reads(self):
        leader = self.leader()
        if leader is None:
            return
        number = leader.app.manifest[0]
        assert number >= self.newest_manifest, 'a revision went back'
        for key, token in self.claims.items():
            found = leader.app.claims.get(key)
            assert found == token, f'claim {key} is gone'
