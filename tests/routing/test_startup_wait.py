"""Requests that arrive at a host before its first configuration."""

from limpetroute.routing import startup_wait


def test_a_request_to_a_starting_host_waits_for_a_configuration():
    """All hosts lose power; their callers retry at hosts that are starting."""
    assert startup_wait.max_wait_s(age_s=0.2, deadline_s=14.0) > 1.0


def test_a_host_long_without_a_configuration_does_not_wait():
    assert startup_wait.max_wait_s(age_s=5.0, deadline_s=14.0) == 0


def test_a_short_deadline_limits_the_wait():
    assert startup_wait.max_wait_s(age_s=0.2, deadline_s=1.0) <= 0.25
