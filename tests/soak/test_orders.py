"""The check of orders that runners got."""

import json

import pytest

from tests.soak import orders

A, B = 'host-a', 'host-b'


def _orders(*rows):
    return [
        orders.Order(runner=runner, holder=holder, fence=fence, arrived_s=at_s)
        for runner, holder, fence, at_s in rows
    ]


@pytest.mark.parametrize(
    'rows',
    [
        # One fencing number with two holders.
        [('r', A, 1, 10.0), ('r', B, 1, 20.0)],
        # A lower number after a higher one.
        [('r', B, 2, 10.0), ('r', A, 1, 20.0)],
        # Two hosts in turn within the lease.
        [('r', A, 1, 10.0), ('r', B, 2, 12.9)],
        [('r', A, 1, 10.0), ('r', A, 1, 12.0), ('r', B, 2, 14.9)],
    ],
)
def test_orders_of_two_leaders_are_seen(rows):
    assert orders.judge(_orders(*rows))


def test_orders_of_one_leader_after_the_other_are_allowed():
    rows = [
        ('r', A, 1, 10.0),
        ('r', A, 1, 10.1),
        ('r', B, 2, 13.2),
        ('r', A, 3, 16.3),
        # A runner that has restarted is another one.
        ('r.1', B, 1, 16.4),
    ]
    assert not orders.judge(_orders(*rows))
    assert orders.changes(_orders(*rows)) == 2


def test_orders_right_after_a_thaw_do_not_count():
    found = _orders(('r', B, 2, 10.0), ('r', A, 1, 12.0))
    assert not orders.judge(found, [(A, 11.8)])
    assert orders.judge(found, [(A, 11.6)])
    assert orders.judge(found, [(B, 11.8)])


@pytest.mark.parametrize(
    ('outcome', 'remaining_ms', 'is_broken'),
    [
        ('status 202', -1, True),
        ('no answer', -800, True),
        ('status 202', 20, False),
        ('not sent: abandoned', -800, False),
    ],
)
def test_an_order_that_outlives_its_lease_is_seen(
    outcome, remaining_ms, is_broken
):
    row = {
        'message': orders.LOGGED,
        'runner': 'r',
        'fence': 2,
        'outcome': outcome,
        'lease_remaining_ms': remaining_ms,
    }
    log = f'starting\n{json.dumps(row)}\n'
    assert bool(orders.judge_log(log)) == is_broken
