import json

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


def test_a_heartbeat_becomes_an_announcement():
    command = heartbeat_codec.decode('i-1', json.dumps(BEAT).encode())
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


def test_what_changes_with_each_heartbeat_is_not_an_announcement():
    """Otherwise each heartbeat would take a place in the control log."""
    one = heartbeat_codec.decode('i-1', json.dumps(BEAT).encode())
    later = {**BEAT, 'cold-left-ms': 100, 'seq': 5}
    two = heartbeat_codec.decode('i-1', json.dumps(later).encode())
    assert one.text == two.text


@pytest.mark.parametrize('data', [b'', b'{}', b'[]', b'{"service": 1}'])
def test_what_cannot_be_read_is_refused(data):
    with pytest.raises(ValueError):
        heartbeat_codec.decode('i-1', data)
