"""Runners that ask a host to back off, or leave, on real processes."""

import asyncio
import random

import pytest

from tests.whole_path import fleet as fleet_module

# Requests that cross the answer that asks for the backoff do not count.
CROSSING_S = 0.5
BACKOFF_S = 3.0
DRAIN_S = 2.0
PLAY_S = 9.0
ASKED_PER_S = 12.0


class Play:
    """Callers ask two hosts in turn; requests are known by their host."""

    def __init__(self, fleet, path):
        self._fleet = fleet
        self._path = path
        self._host_of = {}
        self.statuses = []

    async def run(self):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PLAY_S
        tasks = []
        number = 0
        while loop.time() < end_s:
            tasks.append(asyncio.create_task(self._ask(number % 2)))
            number += 1
            await asyncio.sleep(1.0 / ASKED_PER_S)
        await asyncio.gather(*tasks)

    async def _ask(self, host):
        # `ask` numbers its requests before it first waits.
        self._host_of[f'q{self._fleet._asked + 1}'] = host
        status, _, _ = await self._fleet.ask(host, self._path, b'body')
        self.statuses.append(status)

    def by_host(self, requests):
        """Return the times of requests to one runner, by host."""
        times_s = {0: [], 1: []}
        for at_s, request_id in requests:
            if request_id in self._host_of:
                times_s[self._host_of[request_id]].append(at_s)
        return times_s


def _runners(fleet, path):
    service = 'model' if path.startswith('/stream/') else 'plain'
    return [one for one in fleet.world.runners if one.service == service]


# Guards against a host that sends to a runner in the pause that it was asked
# for, whoever placed the request: the leader, this host, or a second send.
@pytest.mark.parametrize('path', ['/stream/1', '/safe/1', '/once/1'])
def test_runners_get_nothing_from_a_host_in_the_pause_they_asked_for(
    tmp_path, path
):
    async def work():
        async with fleet_module.Fleet(tmp_path) as fleet:
            rng = random.Random(7)
            runners = _runners(fleet, path)
            for one in runners:
                one.backoff_s = BACKOFF_S
                one.sheds = lambda: rng.random() < 0.4
            play = Play(fleet, path)
            await play.run()
            return play, runners

    play, runners = asyncio.run(work())
    assert sum(len(one.refusals) for one in runners) >= 4
    assert play.statuses.count(200) > 5
    for one in runners:
        arrived = [(at_s, name) for at_s, _, name in one.arrivals]
        arrived_s = play.by_host([*arrived, *one.refusals])
        for host, refused_s in play.by_host(one.refusals).items():
            for since_s in refused_s:
                within = [
                    at_s
                    for at_s in arrived_s[host]
                    if since_s + CROSSING_S < at_s < since_s + BACKOFF_S
                ]
                assert not within


# Guards against a runner that leaves, tells it in its answers only, and goes
# on getting requests.
@pytest.mark.parametrize('path', ['/stream/1', '/safe/1', '/once/1'])
def test_a_runner_that_says_in_answers_that_it_leaves_gets_no_more(
    tmp_path, path
):
    async def work():
        async with fleet_module.Fleet(tmp_path) as fleet:
            leaving, *others = _runners(fleet, path)
            leaving.answers_leaving = True
            begun_s = asyncio.get_running_loop().time()
            play = Play(fleet, path)
            await play.run()
            return play, leaving, others, begun_s

    play, leaving, others, begun_s = asyncio.run(work())
    arrived_s = play.by_host(
        [(at_s, name) for at_s, _, name in leaving.arrivals]
    )
    for times_s in arrived_s.values():
        times_s = [at_s for at_s in times_s if at_s > begun_s]
        assert all(at_s < times_s[0] + DRAIN_S for at_s in times_s)
    assert play.statuses.count(200) > 0.9 * len(play.statuses)
    assert sum(len(one.arrivals) for one in others) > 50
