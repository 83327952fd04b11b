"""Runners that name how many requests a second they take."""

import asyncio
import collections

from tests.whole_path import fleet as fleet_module

# From this long after a limit was first named it holds, in any window.
CONTACT_S = 3.0
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
LIMIT_PER_S = 3.0
PLAY_S = 10.0
ASKED_PER_S = 25.0
PLAIN = ('p1', 'p2', 'p3')
DECODE = ('d1', 'd2')


class Play:
    """Callers spread 9 to 1 over two hosts, while runners name limits."""

    def __init__(self, fleet, path):
        self.runners = {one.name: one for one in fleet.world.runners}
        self.answers = collections.Counter()
        self.slowest_refusal_s = 0.0
        self._fleet = fleet
        self._path = path
        self._tasks = []
        self.begun_s = 0.0

    def limit(self, names, limit_per_s=LIMIT_PER_S):
        for name in names:
            self.runners[name].limit_per_s = limit_per_s

    async def run(self, play_s=PLAY_S, asked_per_s=ASKED_PER_S):
        loop = asyncio.get_running_loop()
        self.begun_s = loop.time()
        number = 0
        while loop.time() < self.begun_s + play_s:
            host = 1 if number % 10 == 0 else 0
            self._tasks.append(asyncio.create_task(self._ask(host, number)))
            number += 1
            await asyncio.sleep(1.0 / asked_per_s)
        await asyncio.gather(*self._tasks)

    def most_in_a_window(self, name):
        """Return the most requests of any window that counts."""
        since_s = self.begun_s + CONTACT_S
        times_s = [one[0] for one in self.runners[name].arrivals]
        times_s = [at_s for at_s in times_s if at_s >= since_s]
        return max(
            (
                sum(at_s <= one < at_s + WINDOW_S for one in times_s)
                for at_s in times_s
            ),
            default=0,
        )

    def per_s(self, name, play_s=PLAY_S):
        since_s = self.begun_s + CONTACT_S
        times_s = [one[0] for one in self.runners[name].arrivals]
        count = sum(at_s >= since_s for at_s in times_s)
        return count / (play_s - CONTACT_S)

    async def _ask(self, host, number):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        body = f'body-{number}'.encode()
        status, _, _ = await self._fleet.ask(host, self._path, body)
        self.answers[status] += 1
        if status == 503:
            took_s = loop.time() - begun_s
            self.slowest_refusal_s = max(self.slowest_refusal_s, took_s)


def _play(tmp_path, path, limited, asked_per_s=ASKED_PER_S):
    async def work():
        async with fleet_module.Fleet(tmp_path) as fleet:
            play = Play(fleet, path)
            play.limit(limited)
            await play.run(asked_per_s=asked_per_s)
            return play

    return asyncio.run(work())


ALLOWED = EXCESS * LIMIT_PER_S * WINDOW_S + SLACK


def test_limited_runners_get_what_they_take_and_no_more(tmp_path):
    """The rest goes to a runner that names no limit."""
    play = _play(tmp_path, '/once/1', PLAIN[:2])
    most = {name: play.most_in_a_window(name) for name in PLAIN[:2]}
    assert max(most.values()) <= ALLOWED, (
        f'runners that had named a limit of {LIMIT_PER_S} a second got {most} '
        f'requests in {WINDOW_S} s; allowed {ALLOWED}'
    )
    assert all(play.per_s(one) > LIMIT_PER_S / 2 for one in PLAIN[:2])
    assert set(play.answers) == {200}


def test_streams_keep_to_limits_too(tmp_path):
    play = _play(tmp_path, '/stream/1', DECODE[:1], asked_per_s=20.0)
    most = play.most_in_a_window('d1')
    assert most <= ALLOWED, (
        f'a runner that had named a limit of {LIMIT_PER_S} a second got '
        f'{most} requests in {WINDOW_S} s; allowed {ALLOWED}'
    )
    assert play.per_s('d1') > LIMIT_PER_S / 2


def test_what_no_runner_takes_is_refused_at_once(tmp_path):
    play = _play(tmp_path, '/safe/1', PLAIN)
    most = {name: play.most_in_a_window(name) for name in PLAIN}
    assert max(most.values()) <= ALLOWED, most
    served = sum(play.per_s(name) for name in PLAIN)
    assert served > 3 * LIMIT_PER_S / 2
    assert set(play.answers) == {200, 503}
    assert play.slowest_refusal_s < 0.5


def test_a_limit_that_is_taken_back_binds_no_more(tmp_path):
    async def work():
        async with fleet_module.Fleet(tmp_path) as fleet:
            play = Play(fleet, '/safe/1')
            play.limit(PLAIN)
            await play.run(play_s=5.0)
            play.limit(PLAIN, None)
            await asyncio.sleep(1.0)
            play.answers.clear()
            await play.run(play_s=6.0)
            return play

    play = asyncio.run(work())
    refused = play.answers[503]
    assert refused < 0.2 * play.answers.total(), play.answers
