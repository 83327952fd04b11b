"""A group that three of five hosts found, and that mends itself."""

import dataclasses

from limpetroute import agreement
from limpetroute.agreement import membership_reconciler
from tests.agreement import cluster

VOTERS = 5
GONE_S = 3.0


class SeedCluster(cluster.Cluster):
    founders = 3

    def __init__(self, size, seed):
        self.turnovers = {}
        super().__init__(size, seed)

    def start(self, host):
        self.timings = dataclasses.replace(
            self.timings, min_voters=2, max_voters=VOTERS
        )
        super().start(host)
        self.turnovers.setdefault(
            host, membership_reconciler.MembershipReconciler(gone_s=GONE_S)
        )

    def go_for_good(self, host):
        """A host is gone; an empty one comes at another address."""
        self.crash(host, 0)
        gone = self.nodes.pop(host)
        self.lost_ids.add(gone.replica_id)
        number = max(int(one[1:]) for one in self.nodes) + 1
        new = f'c{max(number, self.size) + len(self.lost_ids)}'
        self.nodes[new] = cluster.Node(
            new, f'{new}.0', agreement.SavedState(), 1.0
        )
        self.start(new)
        return new

    def _deliver(self):
        # What is on its way to a host that is gone reaches nobody.
        self.flying = [one for one in self.flying if one[1] in self.nodes]
        super()._deliver()

    def _replace_lost(self):
        for leader in list(self.running()):
            present = {
                node.host_id: node.replica_id
                for node in self.running()
                if (node.host_id, leader.host_id) not in self.blocked
            }
            change = self.turnovers[leader.host_id].next_change(
                replica=leader.replica,
                present=present,
                wanted_voters=VOTERS,
                now_s=self.clock(leader),
            )
            if change is not None:
                self.step(leader, change)
