"""Requests that come to a host before its first configuration."""

from limpetroute.routing import startup_wait


def test_who_comes_to_a_starting_host_waits_for_its_configuration():
    """All hosts lose power; their callers come back to starting ones."""
    assert startup_wait.max_wait_s(age_s=0.2, deadline_s=14.0) > 1.0


def test_a_host_that_stays_without_one_refuses_at_once():
    assert startup_wait.max_wait_s(age_s=5.0, deadline_s=14.0) == 0


def test_a_caller_that_gives_little_time_is_not_kept_for_long():
    assert startup_wait.max_wait_s(age_s=0.2, deadline_s=1.0) <= 0.25
