import json
import logging

import pytest

from limpetroute.telemetry import log_setup
from limpetroute.telemetry import repeat_filter


@pytest.fixture
def root():
    logger = logging.getLogger()
    saved = (logger.handlers[:], logger.level)
    yield logger
    logger.handlers[:], logger.level = saved


def test_each_record_is_one_line_of_json(root, capsys):
    log_setup.set_up()
    logging.getLogger('limpetroute.x').info('runner %s\nannounced', 'r1')
    logging.getLogger('limpetroute.x').debug('not shown')
    root.handlers[0].close()
    (line,) = capsys.readouterr().out.splitlines()
    body = json.loads(line)
    assert body['message'] == 'runner r1\nannounced'
    assert (body['level'], body['logger']) == ('INFO', 'limpetroute.x')
    assert body['time']


def test_a_repeated_message_passes_once_per_interval():
    now_s = [0.0]
    repeats = repeat_filter.RepeatFilter(
        prefix='noisy', clock=lambda: now_s[0]
    )

    def passes(name, template):
        return repeats.filter(
            logging.LogRecord(name, logging.ERROR, '', 0, template, (), None)
        )

    assert passes('noisy.exporter', 'no collector')
    assert not passes('noisy.exporter', 'no collector')
    assert passes('noisy.exporter', 'another thing')
    assert passes('limpetroute', 'runner %s went silent')
    assert passes('limpetroute', 'runner %s went silent')
    now_s[0] = repeat_filter.QUIET_S
    assert passes('noisy.exporter', 'no collector')
