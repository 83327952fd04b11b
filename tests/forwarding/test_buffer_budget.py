"""Tests of the bound on the memory of buffered answers."""

import pytest

from limpetroute.wire import buffer_budget


def _budget():
    return buffer_budget.BufferBudget(max_body_bytes=10, max_total_bytes=15)


def test_one_answer_takes_no_more_than_its_part():
    with _budget().lease() as lease:
        assert lease.take(10)
        assert not lease.take(1)


# Guards against memory that is lost with an answer that failed.
def test_an_answer_returns_what_it_took():
    budget = _budget()
    with budget.lease() as first, budget.lease() as second:
        assert first.take(10)
        assert not second.take(6)
        assert second.take(5)
    with pytest.raises(ValueError), budget.lease() as third:
        assert third.take(10)
        raise ValueError
    with budget.lease() as fourth, budget.lease() as fifth:
        assert fourth.take(10)
        assert fifth.take(5)
