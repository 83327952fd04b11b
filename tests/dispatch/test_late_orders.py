"""Orders that time out and are carried out seconds later."""

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
CHANGE_S = builders.ENGINE.stage_change_s
PLAYED_S = 80.0


class LateRunners:
    """Runners that carry out some orders late and without a response."""

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
        done_s = self.now_s + delay_s + CHANGE_S
        self.changes.append((done_s, f'r{port - 1}', stage))
        if delay_s:
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.TIMEOUT, sent=True
            )
        return reply.Reply(status=202, headers={}, body=b'')

    def announced(self):
        due = [change for change in self.changes if change[0] <= self.now_s]
        for change in due:
            self.changes.remove(change)
            _, name, stage = change
            for candidate in (builders.PREFILL, builders.DECODE):
                if candidate.value == stage:
                    self.stages[name] = candidate
        return [
            builders.make_runner(name, stage, port=n + 1)
            for n, (name, stage) in enumerate(self.stages.items())
        ]

    def prefill_runners(self):
        return list(self.stages.values()).count(builders.PREFILL)


def play(runners):
    """Reconcile the runners' stages for `PLAYED_S` seconds."""

    async def work():
        controller = stage_orders.StageOrders(
            holder='c1',
            codec=orders.Orders(),
            http=runners,
            lease_remaining_s=lambda term: 1.0,
            handover_s=4.0,
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
    prefill_count=st.integers(2, 4),
)
def test_late_orders_settle_and_keep_a_prefill_runner(delays_s, prefill_count):
    """Guards against orders that a runner carries out after a timeout.

    If a timed-out order is given to another runner too, both runners
    change, no prefill runner is left, and the order that corrects this
    makes a third runner unavailable for six seconds.
    """
    stages = [builders.PREFILL] * prefill_count + [builders.DECODE]
    runners = LateRunners(stages, delays_s)
    play(runners)
    # Of five runners with twelve slots each, two prefill runners keep three
    # decode runners busy.
    wanted = 2 if prefill_count == 4 else 1
    assert runners.prefill_runners() == wanted
    assert not runners.changes
    repeated = _repeated_orders(delays_s, runners)
    assert runners.given <= prefill_count - wanted + repeated


def _repeated_orders(delays_s, runners):
    """Return how many late orders may be given a second time.

    An order that takes effect after it expires is repeated to the same
    runner, which changes nothing.
    """
    expires_s = max(stage_orders.ORDER_EXPIRES_S, 2 * CHANGE_S)
    used = delays_s[: len(delays_s) - len(runners.delays_s)]
    return sum(delay_s + CHANGE_S > expires_s for delay_s in used)
