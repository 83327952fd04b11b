"""Limits of requests a second that runners name in their answers."""

import pytest

from limpetroute.routing import rate_limit


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    [('3.7', 3.7), ('0', 0.0), (' 12 ', 12.0), ('1e30', 1e6)],
)
def test_a_limit_is_read(text, limit_per_s):
    assert rate_limit.parse_limit(text) == limit_per_s


@pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf', '3,5'])
def test_what_is_no_limit_is_told_from_one(text):
    """Taken for 0, it would keep all work from a sound runner."""
    assert rate_limit.parse_limit(text) is None
