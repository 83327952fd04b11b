import json
import logging

import pytest

from limpetroute.telemetry import log_setup


@pytest.fixture
def root():
    found = logging.getLogger()
    kept = (found.handlers[:], found.level)
    yield found
    found.handlers[:], found.level = kept


def test_one_json_object_a_line(root, capsys):
    log_setup.set_up()
    logging.getLogger('limpetroute.x').info('runner %s\nannounced', 'r1')
    logging.getLogger('limpetroute.x').debug('not shown')
    (line,) = capsys.readouterr().err.splitlines()
    shown = json.loads(line)
    assert shown['message'] == 'runner r1\nannounced'
    assert (shown['level'], shown['logger']) == ('INFO', 'limpetroute.x')
    assert shown['time']
