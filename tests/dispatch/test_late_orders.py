"""Orders that get no answer and are carried out seconds later."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from limpetroute.dispatch import stage_orders
from limpetroute.platform import orders
from limpetroute.wire import call_failed
from limpetroute.wire import reply
from tests.routing import builders

TICK_S = 0.05
AWAY_S = builders.ENGINE.stage_change_s
PLAYED_S = 80.0


class LateRunners:
    """Runners that answer some orders only by what they do later."""

    def __init__(self, stages, delays_s):
        self.stages = {f'r{n}': stage for n, stage in enumerate(stages)}
        self.delays_s = list(delays_s)
        self.now_s = 0.0
        self.given = 0
        self.changes = []

    async def call(self, *, method, url, body=b'', headers=None, **rest):
        assert method == 'POST'
        self.given += 1
        port = int(url.split(':')[2].split('/')[0])
        stage = json.loads(body)['stage']
        delay_s = self.delays_s.pop(0) if self.delays_s else 0.0
        done_s = self.now_s + delay_s + AWAY_S
        self.changes.append((done_s, f'r{port - 1}', stage))
        if delay_s:
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.TIMEOUT, sent=True
            )
        return reply.Reply(status=202, headers={}, body=b'')

    def announced(self):
        due = [one for one in self.changes if one[0] <= self.now_s]
        for one in due:
            self.changes.remove(one)
            _, name, stage = one
            for known in (builders.PREFILL, builders.DECODE):
                if known.value == stage:
                    self.stages[name] = known
        return [
            builders.make_runner(name, stage, port=n + 1)
            for n, (name, stage) in enumerate(self.stages.items())
        ]

    def readers(self):
        return list(self.stages.values()).count(builders.PREFILL)


def play(runners):
    """Keep the runners' stages for a while."""

    async def work():
        controller = stage_orders.StageOrders(
            holder='c1', codec=orders.Orders(), http=runners
        )
        controller.begin_term(1, 0.0)
        service = builders.make_service('model', builders.ENGINE)
        while runners.now_s < PLAYED_S:
            controller.reconcile(service, runners.announced(), runners.now_s)
            runners.now_s += TICK_S
            await asyncio.sleep(0)

    asyncio.run(work())


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    delays_s=st.lists(st.sampled_from([0.0, 2.0, 7.0, 12.0]), max_size=4),
    readers=st.integers(2, 4),
)
def test_late_orders_settle_and_never_take_the_last_reader(delays_s, readers):
    """A worker leaves orders unanswered and carries them out later.

    Taken for lost, an order is given to another runner as well. Both
    change in the end, nobody reads prompts any more, and the next order
    back takes a third runner away for six seconds.
    """
    stages = [builders.PREFILL] * readers + [builders.DECODE]
    runners = LateRunners(stages, delays_s)
    play(runners)
    # Of five runners with places for twelve streams, two readers keep
    # three writers busy.
    wanted = 2 if readers == 4 else 1
    assert runners.readers() == wanted
    assert not runners.changes
    given_again = _given_again(delays_s, runners)
    assert runners.given <= readers - wanted + given_again


def _given_again(delays_s, runners):
    """Return how many late orders may be given a second time.

    One that comes into effect after the time at which it lapses is
    given again, to the same runner; that changes nothing.
    """
    lapses_s = max(stage_orders.ORDER_LAPSES_S, 2 * AWAY_S)
    used = delays_s[: len(delays_s) - len(runners.delays_s)]
    return sum(delay_s + AWAY_S > lapses_s for delay_s in used)
