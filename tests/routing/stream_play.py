"""Plays a service's streams through the scheduler on a virtual clock."""

import collections
import dataclasses
import heapq
import random

from limpetroute.routing import placement
from limpetroute.routing import stream_scheduler
from tests.routing import builders

STEP_S = 0.05
TOKENS_PER_S = 1300.0
PATIENCE_S = 14.0
TARGET_S = 0.9
# Callers wait as told, up to this part of the time they have left.
HONORED_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, order=True)
class Event:
    at_s: float
    number: int
    kind: str = dataclasses.field(compare=False)
    name: str = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True)
class Stream:
    sent_s: float
    prompt_tokens: int
    estimated_tokens: int
    actual_tokens: int


class StreamPlay:
    """A base load, a burst, and callers that come back once."""

    def __init__(
        self, seed, *, decode_runners, base, peak, burst, until_s=30.0
    ):
        self.rng = random.Random(seed)
        self.scheduler = stream_scheduler.StreamScheduler(
            engine=builders.ENGINE
        )
        self.fleet = [builders.make_runner('p', builders.PREFILL)]
        for n in range(decode_runners):
            self.fleet.append(builders.make_runner(f'd{n}'))
        self.events = []
        self.streams = {}
        self.counts = collections.Counter()
        self.prefill_free_s = 0.0
        now_s = 0.0
        while now_s < until_s:
            in_burst = burst[0] <= now_s < burst[1]
            now_s += self.rng.expovariate(peak if in_burst else base)
            self.add(now_s, 'new', f's{len(self.streams)}')
            self.streams[f's{len(self.streams)}'] = self.draw(now_s)

    def draw(self, sent_s):
        actual = min(9620, round(4800 * self.rng.lognormvariate(0, 0.5)))
        return Stream(
            sent_s=sent_s,
            prompt_tokens=min(
                11_000, round(4400 * self.rng.lognormvariate(0, 0.5))
            ),
            estimated_tokens=min(
                9620, round(actual * self.rng.lognormvariate(0, 0.5))
            ),
            actual_tokens=actual,
        )

    def add(self, at_s, kind, name):
        number = len(self.events) + self.counts['events']
        self.counts['events'] += 1
        heapq.heappush(self.events, Event(at_s, number, kind, name))

    def run(self):
        now_s = 0.0
        while self.events:
            now_s += STEP_S
            while self.events and self.events[0].at_s <= now_s:
                self.take(heapq.heappop(self.events), now_s)
            for answer in self.scheduler.decide(self.fleet, now_s):
                self.answer(answer, now_s)
        return self.counts

    def take(self, event, now_s):
        stream = self.streams[event.name.removesuffix('-again')]
        if event.kind == 'read':
            self.scheduler.note_prefill_done(event.name, 0, now_s)
            return
        if event.kind == 'end':
            self.scheduler.release(
                placement.Release(
                    request_id=event.name,
                    output_tokens=stream.actual_tokens,
                    decode_s=stream.actual_tokens / TOKENS_PER_S,
                    whole=True,
                ),
                now_s,
            )
            return
        self.scheduler.submit(
            builders.make_request(
                event.name,
                prompt_tokens=stream.prompt_tokens,
                output_tokens=stream.estimated_tokens,
                patience_s=PATIENCE_S - (now_s - stream.sent_s),
                prompt_id=event.name.removesuffix('-again'),
            ),
            now_s,
        )

    def answer(self, answer, now_s):
        name = answer.request_id
        stream = self.streams[name.removesuffix('-again')]
        left_s = PATIENCE_S - (now_s - stream.sent_s)
        if isinstance(answer, placement.Placement):
            self.prefill_free_s = max(self.prefill_free_s, now_s)
            self.prefill_free_s += stream.prompt_tokens / 50_000
            self.add(self.prefill_free_s, 'read', name)
            first_s = self.prefill_free_s + 0.09
            in_time = first_s <= stream.sent_s + TARGET_S
            self.counts['in time' if in_time else 'late'] += 1
            ends_s = first_s + stream.actual_tokens / TOKENS_PER_S
            self.add(ends_s, 'end', name)
        elif name.endswith('-again'):
            self.counts['lost'] += 1
        else:
            wait_s = min(answer.retry_after_s, left_s * HONORED_SHARE)
            self.add(now_s + wait_s, 'back', f'{name}-again')


def totals(**load):
    """Return the counts over eight seeds."""
    counts = collections.Counter()
    for seed in range(8):
        counts.update(StreamPlay(seed, **load).run())
    return counts
