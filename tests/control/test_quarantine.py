"""Quarantined requests in the control log."""

import json

import pytest

from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import results
from limpetroute.control import trial_times


def _state():
    return control_state.ControlState(max_claim_bytes=1000)


def _apply(state, command, index):
    return state.apply(commands.decode(commands.encode(command)), index)


def _crash(state, number, index):
    row = [f'r{number}', number, {'bad': False, f'written-{number}': True}]
    return _apply(state, commands.NoteCrashes(crashes=[row]), index)


def test_a_request_is_quarantined_with_its_third_crash():
    state = _state()
    for number in range(3):
        _crash(state, number, 10 + number)
        assert state.quarantine_index == (12 if number == 2 else 0)
    assert state.quarantine.requests == ('bad',)
    _crash(state, 7, 20)
    assert state.quarantine_index == 12
    _apply(state, commands.ClearRequest(fingerprint='bad'), 21)
    assert state.quarantine_index == 21
    assert not state.quarantine.requests


def test_a_snapshot_keeps_crashes_and_trials():
    """Guards against a host that runs a quarantined request again.

    The host received a snapshot instead of the log entries.
    """
    state = _state()
    for number in range(3):
        _crash(state, number, 1 + number)
    command = commands.TakeTrial(fingerprint='bad', taken=0)
    assert _apply(state, command, 4) == results.TrialDecided(trial='granted')
    again = _state()
    again.load(state.dump())
    assert again.quarantine.requests == ('bad',)
    assert again.quarantine_index == 3
    assert again.dump() == state.dump()
    got = _apply(again, command, 5)
    assert got == results.TrialDecided(trial='denied')


def test_a_snapshot_of_an_earlier_release_has_no_quarantine():
    body = json.loads(_state().dump())
    del body['quarantine']
    del body['quarantine_index']
    again = _state()
    again.load(json.dumps(body).encode())
    assert not again.quarantine


@pytest.mark.parametrize('taken', [0, 1, 2])
def test_each_trial_waits_longer_than_the_one_before(taken):
    times = trial_times.TrialTimes()
    delay_s = trial_times.TRIAL_DELAYS_S[taken]
    assert times.wait_s('bad', taken, 100.0) == delay_s
    assert times.wait_s('bad', taken, 100.0 + delay_s / 2) == delay_s / 2
    assert times.wait_s('bad', taken, 100.0 + delay_s) == 0.0
    later_s = times.wait_s('bad', taken + 1, 100.0 + delay_s)
    assert later_s > delay_s


def test_a_new_leader_restarts_the_delay():
    times = trial_times.TrialTimes()
    times.wait_s('bad', 0, 100.0)
    assert trial_times.TrialTimes().wait_s('bad', 0, 101.0) == 2.0


def test_the_number_of_stored_delays_is_bounded():
    times = trial_times.TrialTimes()
    for number in range(1000):
        times.wait_s(f'f{number}', 0, 1.0)
    assert len(times._since) == trial_times.quarantine.MAX_QUARANTINED_REQUESTS
