"""Parsing of the rate limits in runners' responses."""

import pytest

from limpetroute.routing import rate_limit


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    [('3.7', 3.7), ('0', 0.0), (' 12 ', 12.0), ('1e30', 1e6)],
)
def test_a_valid_limit_is_parsed(text, limit_per_s):
    assert rate_limit.parse_limit(text) == limit_per_s


@pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf', '3,5'])
def test_an_invalid_limit_is_rejected(text):
    """If it counted as 0, a healthy runner would get almost no requests."""
    assert rate_limit.parse_limit(text) is None
