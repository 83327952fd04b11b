"""Simulation of hosts with records and copies, callers and an engine."""

import dataclasses

from limpetroute.peers import copy_holder
from limpetroute.peers import copy_sender
from limpetroute.peers import lease_config
from limpetroute.peers import lease_holder
from limpetroute.peers import lease_voter
from limpetroute.peers import request_record

RATES = {'a': 0.95, 'b': 1.0, 'c': 1.05}
LEASES = lease_config.LeaseConfig(duration_s=6.0, renew_s=2.0, drift=0.05)


@dataclasses.dataclass
class Connection:
    """A caller's connection to ``host``."""

    number: int
    host: str
    attachment: request_record.Attachment
    got: list


class Caller:
    """Oracle: the events delivered to one caller, over all connections."""

    def __init__(self):
        self.connections = []
        self.newest_served = 0
        self.delivered = set()


class RecordWorld:
    """Simulated hosts that keep, copy and take over request records."""

    voter_class = lease_voter.LeaseVoter
    copies_before_delivery = True

    def __init__(self):
        self.real_s = 1000.0
        self.cut = set()
        self.starts = 0
        self.started = {}
        self.voters = {}
        self.holders = {}
        self.senders = {}
        self.copies = {}
        self.records = {}
        self.fences = {}
        self.callers = {}
        self.names = 0
        for name in RATES:
            self.restart(name)
        self.real_s += 10
        for _ in range(2):
            self.tick_all()

    def now_s(self, name):
        return self.real_s * RATES[name]

    def owner(self, name):
        return f'{name}@{self.started[name]}'

    def restart(self, name):
        self.starts += 1000
        self.started[name] = self.starts
        self.voters[name] = self.voter_class(
            voter_id=name, config=LEASES, started_s=self.now_s(name)
        )
        self.holders[name] = lease_holder.LeaseHolder(
            holder_id=name, voters=tuple(RATES), config=LEASES
        )
        self.senders[name] = copy_sender.CopySender(owner=self.owner(name))
        self.copies[name] = copy_holder.CopyHolder()
        self.records[name] = {}
        self.fences[name] = None
        self.holders[name].want(self.owner(name), fence_floor=self.starts)
        for caller in self.callers.values():
            caller.connections = [
                item for item in caller.connections if item.host != name
            ]

    def linked(self, one, two):
        return (one, two) not in self.cut

    def linked_both_ways(self, one, two):
        return self.linked(one, two) and self.linked(two, one)

    def tick(self, name):
        now_s = self.now_s(name)
        holder = self.holders[name]
        for voter, request in holder.tick(now_s):
            if not self.linked(name, voter):
                continue
            vote = self.voters[voter].vote(request, self.now_s(voter))
            if self.linked(voter, name):
                holder.on_vote(vote, self.now_s(name))
        self.check_own_lease(name)
        self.choose_successor(name)
        self.send_copies(name)
        self.take_over(name)

    def tick_all(self):
        for name in RATES:
            self.tick(name)

    def check_own_lease(self, name):
        """Drop records if the lease expired: another host may own them now."""
        held = self.holders[name].held(self.owner(name), self.now_s(name))
        fence = held.fence if held else None
        if self.fences[name] is not None and fence != self.fences[name]:
            for request_id in self.records[name]:
                self.senders[name].remove(request_id)
            self.records[name] = {}
        self.fences[name] = fence

    def choose_successor(self, name):
        sender = self.senders[name]
        if sender.successor_id and self.linked_both_ways(
            name, sender.successor_id
        ):
            return
        for other in RATES:
            if other != name and self.linked_both_ways(name, other):
                sender.set_successor(other)
                return

    def send_copies(self, name, only=None):
        sender = self.senders[name]
        batch = sender.batch(only)
        if batch is not None and sender.successor_id:
            if self.linked(name, sender.successor_id):
                reply = self.copies[sender.successor_id].take(batch)
                if self.linked(sender.successor_id, name):
                    sender.on_reply(batch, reply, sender.successor_id)
        if sender.successor_id and not sender.uncopied:
            self.holders[name].set_successor(
                self.owner(name), sender.successor_id
            )

    def take_over(self, name):
        """Take over records of owners that are dead or cannot be reached."""
        copies = self.copies[name]
        for owner in copies.owners:
            host = owner.split('@')[0]
            if self.linked_both_ways(name, host) and owner == self.owner(host):
                continue
            self.holders[name].want(owner, fence_floor=1)
        for owner in self.holders[name].wanted:
            if owner == self.owner(name):
                continue
            held = self.holders[name].held(owner, self.now_s(name))
            if held is None:
                continue
            if held.known_successor_id in ('', name):
                self.holders[name].set_successor(owner, name)
                if held.successor_id != name:
                    continue
                for copied in copies.take_over(owner):
                    self.add_record(
                        name, copied.restore(), dict(copied.facts.request)
                    )
            else:
                copies.drop(owner)
            self.holders[name].unwant(owner)

    def add_record(self, name, record, request):
        record.may_deliver = lambda: self.may_deliver(name)
        self.records[name][record.request_id] = record
        self.senders[name].add(
            copy_sender.OwnRecord(record=record, request=request, runner=dict)
        )

    def may_deliver(self, name):
        held = self.holders[name].held(self.owner(name), self.now_s(name))
        return held is not None and held.fence == self.fences[name]

    # -- callers

    def submit(self, name):
        if not self.may_deliver(name):
            return None
        self.names += 1
        request_id = f'req{self.names}'
        record = request_record.RequestRecord(
            request_id=request_id,
            team='t',
            key=request_id,
            body_digest='d',
            run_id=f'run{self.names}',
        )
        self.add_record(name, record, {'stream': True})
        self.callers[request_id] = Caller()
        self.connect(request_id, name, None)
        return request_id

    def connect(self, request_id, name, after_index):
        record = self.records[name].get(request_id)
        if record is None:
            return False
        if after_index is not None and after_index >= len(record.events):
            self.generate_events_up_to(record, after_index)
        if after_index is None and record.delivery_unsure:
            return False
        attachment = record.attach(after_index=after_index)
        caller = self.callers[request_id]
        number = len(caller.connections) + 1
        number = max([number] + [c.number + 1 for c in caller.connections])
        number = max(number, caller.newest_served + 1)
        caller.connections.append(
            Connection(number=number, host=name, attachment=attachment, got=[])
        )
        return True

    @staticmethod
    def generate_events_up_to(record, index):
        while len(record.events) <= index:
            record.append(f'{record.run_id}-{len(record.events)}')

    def hosts_of(self, request_id):
        return [name for name in RATES if request_id in self.records[name]]

    def deliver(self, request_id):
        """Have each host write one event to each current connection."""
        caller = self.callers[request_id]
        for item in list(caller.connections):
            record = self.records[item.host].get(request_id)
            if record is None:
                continue
            if not self.is_current(record, item.attachment):
                continue
            index = item.attachment.next_index + len(item.got)
            self.generate_events_up_to(record, index)
            sender = self.senders[item.host]
            if self.copies_before_delivery and not sender.is_copied(
                request_id
            ):
                self.send_copies(item.host, only=request_id)
                if not sender.is_copied(request_id):
                    continue
            self.deliver_event(caller, item, record.events[index], index)
            record.mark_delivered(item.attachment, index)

    def is_current(self, record, attachment):
        return record.is_current(attachment)

    def deliver_event(self, caller, item, text, index):
        assert item.number >= caller.newest_served, (
            'an older connection received an event after a newer one'
        )
        caller.newest_served = item.number
        item.got.append(text)
        assert text.endswith(f'-{index}')
        if not item.attachment.next_index <= index:
            raise AssertionError('event before the requested one')
        caller.delivered.add(index)
