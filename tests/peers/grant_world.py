"""Simulation of hosts, a runner and their clocks, for tests of grants."""

import dataclasses

from limpetroute.peers import grant
from limpetroute.peers import grant_config
from limpetroute.peers import grant_coordinator
from limpetroute.peers import grant_ledger
from limpetroute.peers import hand_over
from limpetroute.peers import lease_config
from limpetroute.peers import lease_voter
from limpetroute.peers import runner_report

SLOTS = 2
KV_BYTES = 1000
RUNNER = 'r1'
LEASES = lease_config.LeaseConfig(duration_s=6.0, renew_s=2.0, drift=0.05)
GRANTS = grant_config.GrantConfig(drift=0.05, order_flight_s=1.0)
RATES = {'a': 0.95, 'b': 1.0, 'c': 1.05}


@dataclasses.dataclass
class Order:
    host: str
    work_id: str
    kv_bytes: int
    arrives_s: float


class GrantWorld:
    """Simulated hosts and a runner that counts orders beyond its capacity."""

    voter_class = lease_voter.LeaseVoter

    def __init__(self):
        self.real_s = 1000.0
        self.cut = set()
        self.down = set()
        self.runs = {}
        self.orders = []
        self.rejected_orders = 0
        self.sequence = 0
        self.number = 0
        self.starts = 0
        self.coordinators = {}
        self.ledgers = {}
        self.reports = []
        for name in RATES:
            self.restart(name)
        self.real_s += 10.0

    def now_s(self, name):
        return self.real_s * RATES[name]

    def restart(self, name):
        self.starts += 1000
        coordinator = grant_coordinator.GrantCoordinator(
            host_id=name,
            zone='z',
            voters=tuple(RATES),
            leases=LEASES,
            grants=GRANTS,
            started_s=self.now_s(name),
        )
        coordinator.voter = self.voter_class(
            voter_id=name, config=LEASES, started_s=self.now_s(name)
        )
        coordinator.set_hosts(dict.fromkeys(RATES, 'z'))
        self.coordinators[name] = coordinator
        self.ledgers[name] = grant_ledger.GrantLedger(config=GRANTS)
        self.down.discard(name)

    def linked(self, one, two):
        if one in self.down or two in self.down:
            return False
        return (one, two) not in self.cut

    def tick(self, name):
        if name in self.down:
            return
        coordinator = self.coordinators[name]
        for send in coordinator.tick(
            self.now_s(name), fence_floor=self.starts
        ):
            if not self.linked(name, send.host_id):
                continue
            other = self.coordinators[send.host_id]
            if isinstance(send.message, hand_over.HandOver):
                other.on_hand_over(send.message)
                if self.linked(send.host_id, name):
                    coordinator.on_hand_over_accepted(send.message.runner_id)
                continue
            vote = other.voter.vote(send.message, self.now_s(send.host_id))
            if self.linked(send.host_id, name):
                coordinator.on_vote(vote, self.now_s(name))

    def report(self, *, delay_s=0.0):
        """Measure a report and deliver it to the hosts after a delay."""
        self.sequence += 1
        used = sum(self.runs.values())
        self.reports.append(
            (
                self.real_s + delay_s,
                self.real_s,
                self.sequence,
                used,
                frozenset(self.runs),
            )
        )
        self.deliver_reports()

    def deliver_reports(self):
        for item in list(self.reports):
            at_s, _, sequence, used, runs = item
            if at_s > self.real_s:
                continue
            self.reports.remove(item)
            for name in self.coordinators:
                if name in self.down:
                    continue
                now_s = self.now_s(name)
                self.coordinators[name].on_report(
                    runner_report.RunnerReport(
                        runner_id=RUNNER,
                        zone='z',
                        incarnation=1,
                        sequence=sequence,
                        measured_s=now_s - GRANTS.report_delay_s,
                        slots=SLOTS,
                        kv_capacity_bytes=KV_BYTES,
                        kv_used_bytes=used,
                        runs=runs,
                    ),
                    now_s,
                )

    def wait(self, seconds):
        end_s = self.real_s + seconds
        while self.real_s < end_s - 1e-9:
            self.real_s = min(end_s, self.real_s + 0.25)
            self.deliver_reports()
            self.apply_due_orders()

    def acquire(self, name, kv_bytes, work_id=None):
        """Acquire capacity for a host; return the work id or None."""
        if name in self.down:
            return None
        again = work_id is not None
        if work_id is None:
            self.number += 1
            work_id = f'w{self.number}'
        asked = grant.Grant(
            work_id=work_id, run_id=work_id, asker_id=name, kv_bytes=kv_bytes
        )
        asked_s = self.now_s(name)
        holder = self.coordinators[name].holder_of(RUNNER, asked_s)
        for _ in range(2):
            if not holder or not self.linked(name, holder):
                return None
            got = self.coordinators[holder].acquire(
                RUNNER, asked, self.now_s(holder), again=again
            )
            if isinstance(got, grant.NotHolder):
                holder = got.holder_id
                continue
            if not isinstance(got, grant.GrantGiven):
                return None
            if not self.linked(holder, name):
                return None
            self.ledgers[name].add(
                runner_id=RUNNER,
                holder_id=holder,
                asked=asked,
                given=got,
                asked_s=asked_s,
            )
            return work_id
        return None

    def works(self, name, *, started):
        return sorted(
            line.grant.work_id
            for line in self.ledgers[name]._lines.values()
            if line.started is started
        )

    def start(self, name, work_id, flight_s):
        """Send the import order, which arrives after ``flight_s``."""
        if name in self.down:
            return False
        ledger = self.ledgers[name]
        if not ledger.start(RUNNER, work_id, self.now_s(name)):
            return False
        # The limit ``order_flight_s`` applies to the sender's clock.
        order = Order(
            host=name,
            work_id=work_id,
            kv_bytes=ledger.find(RUNNER, work_id).grant.kv_bytes,
            arrives_s=self.real_s + flight_s / max(RATES.values()),
        )
        self.orders.append(order)
        self.apply_due_orders()
        return True

    def apply_due_orders(self):
        for order in list(self.orders):
            if order.arrives_s > self.real_s:
                continue
            self.orders.remove(order)
            full = len(self.runs) >= SLOTS
            used = sum(self.runs.values()) + order.kv_bytes
            if full or used > KV_BYTES:
                self.rejected_orders += 1
                continue
            self.runs[order.work_id] = order.kv_bytes

    def finish(self, work_id):
        self.runs.pop(work_id, None)

    def release(self, name, work_id):
        """Release a grant after its run has ended."""
        line = self.ledgers[name].pop(RUNNER, work_id)
        if line is None or not self.linked(name, line.holder_id):
            return
        coordinator = self.coordinators[line.holder_id]
        coordinator.release(RUNNER, work_id, self.now_s(line.holder_id))
