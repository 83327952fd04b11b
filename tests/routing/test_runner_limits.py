"""Hosts with uneven load share the rate limits of runners."""

import heapq
import random

import pytest

from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_limits
from limpetroute.routing import stream_scheduler
from tests.routing import builders

WINDOW_S = 4.0


def _report(limit_per_s, received_s=0.0, name='r', started_ms=1):
    return runner_limits.LimitReport(
        incarnation=runner_incarnation.RunnerIncarnation(
            runner_id=name, started_ms=started_ms
        ),
        limit_per_s=limit_per_s,
        received_s=received_s,
    )


def _max_in_window(times_s):
    return max(
        sum(at_s <= time_s < at_s + WINDOW_S for time_s in times_s)
        for at_s in times_s
    )


class Hosts:
    """Hosts that ask the leader for each request unless they must wait."""

    def __init__(self, rates_per_s, limit_at, seed=1):
        self.rng = random.Random(seed)
        self.limits = runner_limits.RunnerLimits()
        self.limit_at = limit_at
        self.sent_s = []
        self.calls = 0
        self._waits_until_s = [0.0] * len(rates_per_s)
        self._arrivals = []
        for host, rate in enumerate(rates_per_s):
            if rate:
                heapq.heappush(self._arrivals, (self._gap_s(rate), host, rate))

    def run(self, until_s):
        while self._arrivals[0][0] < until_s:
            now_s, host, rate = heapq.heappop(self._arrivals)
            self._request(host, now_s)
            heapq.heappush(
                self._arrivals, (now_s + self._gap_s(rate), host, rate)
            )

    def _gap_s(self, rate):
        return self.rng.expovariate(rate)

    def _request(self, host, now_s):
        if now_s < self._waits_until_s[host]:
            return
        self.calls += 1
        self.limits.note_limit(_report(self.limit_at(now_s), now_s), now_s)
        if self.limits.has_token('r', now_s):
            self.limits.take('r', now_s)
            self.sent_s.append(now_s)
            return
        self._waits_until_s[host] = now_s + self.limits.retry_wait_s(
            'r', now_s
        )


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('limit_per_s', [0.5, 3.5, 40.0])
@pytest.mark.parametrize(
    'rates_per_s',
    [[90.0, 10.0], [20.0] * 7, [0.5] * 200],
    ids=['nine to one', 'even', 'many hosts'],
)
def test_a_limit_is_used_and_not_exceeded(rates_per_s, limit_per_s, seed):
    hosts = Hosts(rates_per_s, lambda now_s: limit_per_s, seed)
    hosts.run(60.0)
    assert _max_in_window(hosts.sent_s) <= 1.5 * limit_per_s * WINDOW_S + 5
    assert len(hosts.sent_s) >= 0.8 * 60.0 * limit_per_s
    # No request of a caller costs more than one call to the leader.
    assert hosts.calls <= 60.0 * sum(rates_per_s) * 1.1


def test_limits_that_change_each_second_are_respected():
    hosts = Hosts([30.0, 3.0], lambda now_s: 2.0 + 8.0 * (int(now_s) % 2))
    hosts.run(60.0)
    assert _max_in_window(hosts.sent_s) <= 1.5 * 6.0 * WINDOW_S + 5
    assert len(hosts.sent_s) >= 0.8 * 60.0 * 6.0


def test_the_share_of_a_host_that_leaves_is_used_by_others():
    hosts = Hosts([30.0, 30.0], lambda now_s: 4.0)
    hosts.run(20.0)
    hosts._arrivals = [
        arrival for arrival in hosts._arrivals if arrival[1] == 1
    ]
    hosts.sent_s.clear()
    hosts.run(40.0)
    assert len(hosts.sent_s) >= 0.8 * 20.0 * 4.0


def test_a_runner_with_limit_0_gets_a_request_now_and_then():
    """Without requests, its responses could not lift the limit."""
    hosts = Hosts([20.0], lambda now_s: 0.0)
    hosts.run(60.0)
    assert 6 <= len(hosts.sent_s) <= 15


def test_a_lifted_limit_has_no_effect():
    limits = runner_limits.RunnerLimits()
    limits.note_limit(_report(1.0, 10.0), 10.0)
    assert not limits.has_token('r', 10.0)
    limits.note_limit(_report(None, 11.0), 11.0)
    assert limits.has_token('r', 11.0)
    assert limits.retry_wait_s('r', 11.0) == 0.0


def test_an_older_report_that_arrives_late_is_ignored():
    limits = runner_limits.RunnerLimits()
    limits.note_limit(_report(None, 11.0), 11.0)
    limits.note_limit(_report(1.0, 10.0), 11.1)
    assert limits.limit_per_s('r') is None


def test_each_incarnation_of_a_runner_has_its_own_limit():
    limits = runner_limits.RunnerLimits()
    limits.note_limit(_report(1.0, 10.0, started_ms=1), 10.0)
    limits.note_limit(_report(5.0, 9.0, started_ms=2), 10.5)
    assert limits.limit_per_s('r') == 5.0
    limits.note_limit(_report(1.0, 12.0, started_ms=1), 12.0)
    assert limits.limit_per_s('r') == 5.0


def test_many_runners_take_bounded_memory():
    limits = runner_limits.RunnerLimits()
    for number in range(runner_limits.MAX_RUNNERS + 10):
        limits.note_limit(_report(1.0, name=f'r{number}'), 0.0)
    assert len(limits._limited) == runner_limits.MAX_RUNNERS
    assert limits.limit_per_s('r0') is None


RUNNERS = [
    builders.make_runner('d1'),
    builders.make_runner('d2'),
    builders.make_runner('p1', builders.PREFILL),
    builders.make_runner('p2', builders.PREFILL),
]


class Streams:
    """A burst of short streams at two decode and two prefill runners."""

    def __init__(self, limits):
        self.scheduler = stream_scheduler.StreamScheduler(
            engine=builders.ENGINE, limits=limits
        )
        self.placed = []
        self.count = 0

    def run(self, seconds, per_s):
        for step in range(int(seconds * per_s)):
            now_s = step / per_s
            self.count += 1
            ask = builders.make_request(
                f's{self.count}', prompt_tokens=500, output_tokens=300
            )
            self.scheduler.submit(ask, now_s)
            answers = self.scheduler.decide(RUNNERS, now_s)
            for answer in answers:
                if hasattr(answer, 'decode_id'):
                    self.placed.append((now_s, answer))
                    self._end(answer, now_s)

    def _end(self, place, now_s):
        release = stream_scheduler.placement.Release(
            request_id=place.request_id, whole=True
        )
        self.scheduler.note_prefill_done(place.request_id, 0, now_s)
        self.scheduler.release(release, now_s)

    def times_s(self, runner_id):
        return [
            at_s
            for at_s, placed in self.placed
            if runner_id in (placed.decode_id, placed.prefill_id)
        ]


@pytest.mark.parametrize('name', ['d1', 'p1'])
def test_the_leader_places_streams_within_a_limit(name):
    """Otherwise one pass could place the whole queue at one runner."""
    limits = runner_limits.RunnerLimits()
    limits.note_limit(_report(2.0, name=name, started_ms=0), 0.0)
    streams = Streams(limits)
    streams.run(20.0, 20.0)
    assert _max_in_window(streams.times_s(name)) <= 1.5 * 2.0 * WINDOW_S + 5
    assert len(streams.times_s(name)) >= 0.5 * 20.0 * 2.0
    assert len(streams.placed) >= 0.95 * streams.count
