"""Orders that runners got, checked against the rule of one sender."""

import contextlib
import dataclasses
import json

# A change of the sender takes at least this long, by the users' settings.
LEASE_S = 3.0
# An order that arrives so soon after its sender was thawed does not count.
THAW_S = 0.3
# Message of the log line of an order.
LOGGED = 'ordered a stage'


@dataclasses.dataclass(frozen=True)
class Order:
    """An order as its runner got it; a runner that restarts is another."""

    runner: str
    holder: str
    fence: int
    arrived_s: float


def judge(orders, thaws=(), lease_s=LEASE_S):
    """Return what was broken, a line for each case.

    ``thaws`` are pairs of a host and the time at which it went on.
    """
    by_runner = {}
    for order in sorted(orders, key=lambda one: one.arrived_s):
        if not _is_excused(order, thaws):
            by_runner.setdefault(order.runner, []).append(order)
    broken = []
    for found in by_runner.values():
        broken += _judge_runner(found, lease_s)
    return broken


def judge_log(text):
    """Return the orders in a control host's log that outlived its lease."""
    broken = []
    for line in text.splitlines():
        if f'"{LOGGED}"' not in line:
            continue
        with contextlib.suppress(ValueError):
            row = json.loads(line)
            is_sent = not row['outcome'].startswith('not sent')
            remaining_ms = row.get('lease_remaining_ms', 0)
            if is_sent and remaining_ms < 0:
                broken.append(
                    f'{row["runner"]}: an order with fence {row["fence"]}, '
                    f'{-remaining_ms} ms after its lease'
                )
    return broken


def changes(orders):
    """Return how often the sender of a runner's orders changed."""
    last = {}
    count = 0
    for order in sorted(orders, key=lambda one: one.arrived_s):
        count += last.get(order.runner, order.holder) != order.holder
        last[order.runner] = order.holder
    return count


def _judge_runner(orders, lease_s):
    broken = []
    holders = {}
    highest = 0
    last_s = {}
    for order in orders:
        name = f'{order.runner}: {order.holder} with fence {order.fence}'
        if holders.setdefault(order.fence, order.holder) != order.holder:
            broken.append(f'{name}, that of {holders[order.fence]}')
        if order.fence < highest:
            broken.append(f'{name}, after {highest}')
        highest = max(highest, order.fence)
        for holder, at_s in last_s.items():
            gap_s = order.arrived_s - at_s
            if holder != order.holder and gap_s < lease_s:
                broken.append(f'{name}, {gap_s:.2f} s after {holder}')
        last_s[order.holder] = order.arrived_s
    return broken


def _is_excused(order, thaws):
    return any(
        host == order.holder and 0 <= order.arrived_s - at_s <= THAW_S
        for host, at_s in thaws
    )
