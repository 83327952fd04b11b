import json
import logging

import pytest

from limpetroute.telemetry import log_setup
from limpetroute.telemetry import repeat_filter


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
    root.handlers[0].close()
    (line,) = capsys.readouterr().out.splitlines()
    shown = json.loads(line)
    assert shown['message'] == 'runner r1\nannounced'
    assert (shown['level'], shown['logger']) == ('INFO', 'limpetroute.x')
    assert shown['time']


def test_an_exporter_repeats_itself_once_in_a_while():
    now_s = [0.0]
    found = repeat_filter.RepeatFilter(prefix='noisy', clock=lambda: now_s[0])

    def passes(name, template):
        return found.filter(
            logging.LogRecord(name, logging.ERROR, '', 0, template, (), None)
        )

    assert passes('noisy.exporter', 'no collector')
    assert not passes('noisy.exporter', 'no collector')
    assert passes('noisy.exporter', 'another thing')
    assert passes('limpetroute', 'runner %s went silent')
    assert passes('limpetroute', 'runner %s went silent')
    now_s[0] = repeat_filter.QUIET_S
    assert passes('noisy.exporter', 'no collector')
