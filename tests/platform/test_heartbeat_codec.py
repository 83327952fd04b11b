import json

import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.decisions import stage
from limpetroute.platform import heartbeat_codec
from limpetroute.routing import runner_info

BEAT = {
    'service': 'model',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'cold-left-ms': 700,
    'stage': 'decode',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'seq': 4,
    'something-new': True,
}


def test_a_heartbeat_is_decoded():
    announced = heartbeat_codec.decode('i-1', json.dumps(BEAT).encode())
    command = announced.command
    assert announced.service == 'model'
    info = runner_info.from_detail(
        runner_id='i-1',
        address=command.address,
        ready=command.state == 'ready',
        detail=command.text,
    )
    assert command.sequence == 4
    assert info.stage is stage.Stage.DECODE
    assert (info.host, info.port, info.zone) == ('10.0.0.9', 8080, 'a')
    assert (info.service, info.slots, info.ready) == ('model', 12, True)


def test_fields_that_change_with_each_heartbeat_are_not_logged():
    """Otherwise each heartbeat would add an entry to the control log."""
    first = heartbeat_codec.decode('i-1', json.dumps(BEAT).encode())
    later = {**BEAT, 'cold-left-ms': 100, 'seq': 5}
    second = heartbeat_codec.decode('i-1', json.dumps(later).encode())
    assert first.command.text == second.command.text


@pytest.mark.parametrize('data', [b'', b'{}', b'[]', b'{"service": 1}'])
def test_an_invalid_heartbeat_is_refused(data):
    with pytest.raises(ValueError):
        heartbeat_codec.decode('i-1', data)


def test_a_restarted_runner_has_a_new_log_text():
    """A runner crashes and restarts with the same id.

    Its sequence numbers begin again, so only its start time
    distinguishes its incarnations.
    """
    first = heartbeat_codec.decode('i-1', json.dumps(BEAT).encode())
    restarted = {**BEAT, 'seq': 1, 'born': 1_770_000_000_123}
    second = heartbeat_codec.decode('i-1', json.dumps(restarted).encode())
    assert second.command.started_ms == 1_770_000_000_123
    assert first.command.text != second.command.text


REQUIRED = [
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'cold-left-ms',
    'seq',
]
JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


@hypothesis.given(
    name=st.sampled_from([*REQUIRED, 'stage', 'born']), junk=JUNK
)
def test_a_field_of_another_type_makes_a_heartbeat_unreadable(name, junk):
    """A client that is not a runner sends a body like a heartbeat.

    Accepting it with its valid fields would route requests to an address
    without a runner, or displace the runner that uses the address.
    """
    hypothesis.assume(not (name == 'stage' and junk is None))
    with pytest.raises(ValueError):
        heartbeat_codec.decode(
            'i-1', json.dumps({**BEAT, name: junk}).encode()
        )


@pytest.mark.parametrize('name', REQUIRED)
def test_a_field_that_is_missing_makes_a_heartbeat_unreadable(name):
    body = {key: value for key, value in BEAT.items() if key != name}
    with pytest.raises(ValueError):
        heartbeat_codec.decode('i-1', json.dumps(body).encode())


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'asleep'},
        {'stage': 'train'},
        {'address': 'nowhere'},
        {'address': '10.0.0.9:99999'},
        {'slots': '12'},
        {'slots': 12.5},
        {'seq': '4'},
        {'born': '1770000000123'},
        {'born': 1.5},
        {'born': -1},
        {'service': ''},
    ],
)
def test_values_that_no_runner_sends_are_refused(fields):
    with pytest.raises(ValueError):
        heartbeat_codec.decode('i-1', json.dumps({**BEAT, **fields}).encode())


@hypothesis.given(st.binary(max_size=40))
def test_bytes_that_are_no_heartbeat_are_refused(data):
    with pytest.raises(ValueError):
        heartbeat_codec.decode('i-1', data)


def test_a_farewell_may_name_the_incarnation_that_ends():
    plain = heartbeat_codec.decode_farewell('i-1', b'')
    assert plain.started_ms == 0
    dated = heartbeat_codec.decode_farewell('i-1', b'{"born": 7}')
    assert dated.started_ms == 7
    with pytest.raises(ValueError):
        heartbeat_codec.decode_farewell('i-1', b'{"born": "7"}')
