"""A simulated network for tests of the membership protocol."""

import heapq
import random

from limpetroute.peers import member_claim
from limpetroute.peers import member_codec
from limpetroute.peers import membership
from limpetroute.peers import membership_config

DELAY_S = 0.005
TICK_S = 0.1


class MemberNet:
    """Simulated hosts, a virtual clock, and links that can be cut."""

    def __init__(self, count, *, seed=1, config=None, codec=False):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.config = config or membership_config.MembershipConfig()
        self.codec = codec
        self.hosts = {}
        self.down = set()
        self.cut = set()
        self.queue = []
        self.order = 0
        self.bytes = 0
        self.messages = 0
        self.largest_message_bytes = 0
        for number in range(count):
            self.start(f'h{number:03d}', count)

    def start(self, name, count, incarnation=1):
        seeds = [f'http://10.0.0.{n}' for n in range(min(3, count))]
        self.hosts[name] = membership.Membership(
            claim=member_claim.MemberClaim(
                host_id=name,
                url=f'http://10.0.0.{int(name[1:])}',
                zone=f'z{int(name[1:]) % 3}',
                incarnation=incarnation,
            ),
            seeds=seeds,
            config=self.config,
            rng=random.Random(f'{name}-{incarnation}'),
        )
        self.down.discard(name)

    def send(self, source, sends):
        for item in sends:
            target = f'h{int(item.url.rsplit(".", 1)[1]):03d}'
            self.messages += 1
            if self.codec:
                data = member_codec.encode(item.message)
                self.bytes += len(data)
                self.largest_message_bytes = max(
                    self.largest_message_bytes, len(data)
                )
            if (source, target) in self.cut or source in self.down:
                continue
            self.order += 1
            heapq.heappush(
                self.queue,
                (self.now_s + DELAY_S, self.order, target, item.message),
            )

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            tick_s = self.now_s + TICK_S
            while self.queue and self.queue[0][0] <= tick_s:
                at_s, _, target, message = heapq.heappop(self.queue)
                self.now_s = max(self.now_s, at_s)
                if target in self.down:
                    continue
                got = self.hosts[target].receive(message, self.now_s)
                self.send(target, got)
            self.now_s = tick_s
            for name, host in self.hosts.items():
                if name not in self.down:
                    self.send(name, host.tick(self.now_s))

    def part(self, left, right):
        for one in left:
            for two in right:
                self.cut |= {(one, two), (two, one)}

    def status(self, observer, host):
        claim = self.hosts[observer].view(self.now_s).find(host)
        return None if claim is None else str(claim.status)
