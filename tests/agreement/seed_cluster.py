"""Cluster that three of five hosts bootstrap and that repairs itself."""

import dataclasses

from limpetroute import agreement
from limpetroute.agreement import host_contacts
from limpetroute.agreement import membership_reconciler
from tests.agreement import cluster

VOTERS = 5
REPLACE_AFTER_S = 3.0


class SeedCluster(cluster.Cluster):
    bootstrap_count = 3

    def __init__(self, size, seed):
        self.reconcilers = {}
        self.contacts = {}
        super().__init__(size, seed)

    def start(self, host):
        self.timings = dataclasses.replace(
            self.timings, min_voters=2, max_voters=VOTERS
        )
        super().start(host)
        self.contacts[host] = host_contacts.HostContacts(
            started_s=self.clock(self.nodes[host])
        )
        self.reconcilers.setdefault(
            host,
            membership_reconciler.MembershipReconciler(
                replace_after_s=REPLACE_AFTER_S
            ),
        )

    def replace_host(self, host):
        """Remove a host for good and add an empty one with a new name."""
        self.crash(host, 0)
        removed = self.nodes.pop(host)
        self.lost_replica_ids.add(removed.replica_id)
        return self.add_host()

    def add_host(self):
        """Start one more host, with an empty disk and a new name."""
        number = max(int(name[1:]) for name in self.nodes) + 1
        new = f'c{max(number, self.size) + len(self.lost_replica_ids)}'
        self.nodes[new] = cluster.Node(
            new, f'{new}.0', agreement.SavedState(), 1.0
        )
        self.start(new)
        return new

    def _deliver(self):
        # Messages in flight to a removed host are lost.
        self.in_flight = [
            item for item in self.in_flight if item[1] in self.nodes
        ]
        super()._deliver()

    def _replace_lost(self):
        for node in list(self.running()):
            contacts = self.contacts[node.host_id]
            for other in self.running():
                if (other.host_id, node.host_id) in self.blocked:
                    continue
                contacts.record(
                    other.host_id, other.replica_id, self.clock(node)
                )
            change = self.reconcilers[node.host_id].next_change(
                replica=node.replica,
                contacts=contacts,
                wanted_voters=VOTERS,
                now_s=self.clock(node),
            )
            if change is not None:
                self.step(node, change)
