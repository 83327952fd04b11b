"""Explains the outcome of a request from its id and the logs."""

import json

from limpetroute.cli import main


def line(time, message, **fields):
    body = {'time': time, 'message': message, 'request': 'q1', **fields}
    return json.dumps(body)


SENT = {
    'part': 'decode',
    'runner': 'i-1',
    'address': '10.0.0.1:80',
    'result': 'broken',
    'step': 'fail',
    'took_ms': 40,
    'detail': '',
}


def explain(tmp_path, capsys, *lines):
    log = tmp_path / 'entry.log'
    log.write_text('ready: callers 1\n' + '\n'.join(lines) + '\n{torn')
    code = main.main(['explain', 'q1', str(log)])
    return code, capsys.readouterr().out


def test_refusal_is_explained_with_lines_in_time_order(tmp_path, capsys):
    code, out = explain(
        tmp_path,
        capsys,
        line(
            '2', 'answered for itself', status=503, reason='no place in time'
        ),
        line('1', 'stream decided', outcome='Rejection', held=12),
    )
    assert code == 1
    assert out.index('stream decided') < out.index('answered for itself')
    assert 'No decode runner had room in time' in out


def test_a_broken_answer_names_its_runner(tmp_path, capsys):
    code, out = explain(
        tmp_path,
        capsys,
        line('1', 'sent', **SENT),
        line('2', 'answered for itself', status=502, reason='after a send'),
    )
    assert code == 1
    assert 'went to i-1 at 10.0.0.1:80 and ended broken after 40 ms' in out


def test_answered_request_is_reported(tmp_path, capsys):
    good = {**SENT, 'result': 'answered', 'step': 'relay'}
    code, out = explain(tmp_path, capsys, line('1', 'sent', **good))
    assert code == 0
    assert 'answered by a runner' in out


def test_an_unknown_request(tmp_path, capsys):
    log = tmp_path / 'log'
    log.write_text(line('1', 'sent', **SENT))
    assert main.main(['explain', 'q2', str(log)]) == 3
    assert main.main(['explain', 'q1', str(tmp_path / 'none')]) == 2


def test_a_call_that_took_too_long_names_its_runner(tmp_path, capsys):
    cut = {**SENT, 'part': 'run', 'result': 'cut', 'took_ms': 1500}
    code, out = explain(
        tmp_path,
        capsys,
        line('1', 'sent', **cut),
        line(
            '2', 'answered for itself', status=504, reason='no answer in time'
        ),
    )
    assert code == 1
    assert "The route's timeout" in out
    assert 'went to i-1 at 10.0.0.1:80 and ended cut after 1500 ms' in out
