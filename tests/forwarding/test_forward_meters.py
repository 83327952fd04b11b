"""Metrics of a forwarder."""

import warnings

from limpetroute.forwarding import forward_meters
from limpetroute.telemetry import exports


def make_meters():
    exported = exports.Exports(host_id='e1', zone='a')
    return forward_meters.ForwardMeters(meter=exported.meter), exported


def test_an_early_first_event_is_recorded(caplog):
    """Guards against errors that the metrics library refuses to record."""
    meters, exported = make_meters()
    with warnings.catch_warnings():
        warnings.simplefilter('error')
        meters.first_event_error(-0.1)
        meters.first_event_error(0.1)
    assert not caplog.records
    text = exported.text().decode()
    assert 'early="true"' in text
    assert 'early="false"' in text


def test_thousands_of_teams_make_few_series():
    meters, exported = make_meters()
    for number in range(1000):
        meters.team_answered(f'team-{number}', 200)
    lines = [
        line
        for line in exported.text().decode().splitlines()
        if line.startswith('limpetroute_team_answers')
    ]
    assert len(lines) == forward_meters.MAX_TEAM_LABELS + 1
    assert any('team="other"' in line for line in lines)
