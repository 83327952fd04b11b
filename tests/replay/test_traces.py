import json
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from limpetroute.cli import main
from limpetroute.replay import parts
from limpetroute.replay import replayer
from limpetroute.replay import trace_error
from limpetroute.replay import trace_reader

FOLDER = pathlib.Path(__file__).resolve().parents[2] / 'traces'
TRACES = sorted(FOLDER.glob('*.jsonl'))
HEADER = b'{"trace": 1, "story": "s"}\n'


def _id(path):
    return path.stem


def _alter(value):
    """Return a different value, of the same type where possible."""
    if isinstance(value, bool):
        return not value
    if isinstance(value, int | float):
        return value + 1
    if isinstance(value, str):
        return value + '?'
    if isinstance(value, list):
        return [*value, 'one more']
    if isinstance(value, dict):
        return {**value, 'one more': 1}
    return 'something'


def _mutants(body):
    """Yield the expected outcome with each of its values changed once."""
    yield _alter(body)
    if isinstance(body, list):
        for index, item in enumerate(body):
            for wrong in _mutants(item):
                yield [*body[:index], wrong, *body[index + 1 :]]
    if isinstance(body, dict):
        for name, item in body.items():
            for wrong in _mutants(item):
                yield {**body, name: wrong}


def test_there_are_traces():
    assert len(TRACES) >= 12


@pytest.mark.parametrize('path', TRACES, ids=_id)
def test_outcomes_match_the_expected_ones(path):
    steps = replayer.replay(trace_reader.read(path.read_bytes()))
    assert all(step.agrees for step in steps)


@pytest.mark.parametrize('path', TRACES, ids=_id)
def test_each_altered_outcome_is_detected(path):
    lines = path.read_bytes().splitlines()
    for number, line in enumerate(lines[1:], 1):
        body = json.loads(line)
        if 'expect' not in body:
            continue
        for wrong in _mutants(body['expect']):
            mutant = lines.copy()
            mutant[number] = json.dumps({**body, 'expect': wrong}).encode()
            steps = replayer.replay(trace_reader.read(b'\n'.join(mutant)))
            assert not steps[-1].agrees
            assert steps[-1].event.line == number + 1


def test_first_difference_is_reported(tmp_path, capsys):
    path = tmp_path / 'x.jsonl'
    path.write_bytes(
        HEADER
        + b'{"at_s": 0, "on": "guard", "do": "give_up", "expect": "not_run"}\n'
        + b'{"at_s": 1, "on": "guard", "do": "give_up", "expect": "x"}\n'
        + b'{"at_s": 2, "on": "guard", "do": "give_up", "expect": "y"}\n'
    )
    assert main.main(['replay', str(path)]) == 1
    output = capsys.readouterr().out
    assert 'first event that differs: line 3' in output
    assert main.main(['replay', '--json', str(path)]) == 1
    output = json.loads(capsys.readouterr().out)
    assert [step['agrees'] for step in output['steps']] == [True, False]
    assert output['steps'][1]['expected'] == 'x'
    assert output['steps'][1]['got'] == 'not_run'


@pytest.mark.parametrize(
    ('line', 'position', 'message'),
    [
        (b'{"at_s": 0', 'line 2 column 11', 'delimiter'),
        (b'[]', 'line 2 column 1', 'not a JSON object'),
        (b'\xff', 'line 2 column 1', 'UTF-8'),
        (b'{"on": "guard", "do": "x"}', 'line 2 column 1', 'at_s: missing'),
        (b'{"at_s": 0, "to": 1}', 'line 2 column 13', 'to: allowed are'),
        (b'{"at_s": "0", "on": "", "do": ""}', 'line 2 column 2', 'seconds'),
        (b'{"at_s":NaN, "on": "", "do": ""}', 'line 2 column 2', 'finite'),
        (b'{"at_s": 0, "on": 1, "do": ""}', 'line 2 column 13', 'not a text'),
        (b'{"at_s": 0, "on": "", "do": ""}', 'line 2', 'no line states'),
        (
            b'{"at_s": 0, "on": "x", "do": "y", "expect": 1}',
            'line 2 column 1',
            "'x' is not one of",
        ),
        (
            b'{"at_s": 0, "on": "guard", "do": "y", "expect": 1}',
            'line 2 column 1',
            'give_up, refused, send',
        ),
        (
            b'{"at_s": 0, "on": "router", "do": "tokens", "with": '
            b'{"work_id": "w", "count": "many"}, "expect": 1}',
            'line 2 column 1',
            'with.count: Input should be a valid integer',
        ),
        (
            b'{"at_s": 1, "on": "guard", "do": "send"}\n'
            b'{"at_s": 0, "on": "guard", "do": "send"}',
            'line 3 column 2',
            'clock goes back',
        ),
    ],
)
def test_unreadable_line_is_reported(
    tmp_path, capsys, line, position, message
):
    path = tmp_path / 'x.jsonl'
    path.write_bytes(HEADER + line + b'\n')
    assert main.main(['replay', str(path)]) == 2
    output = capsys.readouterr().err
    assert f'{path}: {position}' in output
    assert message in output


@pytest.mark.parametrize('data', [b'', b'{}\n', b'{"trace": 2}\n'])
def test_file_that_is_not_a_trace_is_refused(tmp_path, capsys, data):
    path = tmp_path / 'x.jsonl'
    path.write_bytes(data)
    assert main.main(['replay', str(path)]) == 2
    assert 'line 1 column 1' in capsys.readouterr().err
    assert main.main(['check', str(path)]) == 2
    assert main.main(['replay', str(tmp_path / 'gone')]) == 2


@pytest.mark.parametrize('path', TRACES, ids=_id)
def test_check_accepts_traces(path):
    assert main.main(['check', str(path)]) == 0


@hypothesis.given(
    path=strategies.sampled_from(TRACES),
    fraction=strategies.floats(0, 1),
    replacement=strategies.binary(max_size=3),
)
def test_damaged_traces_are_refused_or_played(path, fraction, replacement):
    data = path.read_bytes()
    offset = int(fraction * len(data))
    damaged = data[:offset] + replacement + data[offset + 1 :]
    try:
        replayer.replay(trace_reader.read(damaged))
    except trace_error.TraceError as exc:
        assert 1 <= exc.line <= damaged.count(b'\n') + 1
        assert exc.column >= 1


def test_each_component_is_in_a_trace():
    used = {
        json.loads(line)['on']
        for path in TRACES
        for line in path.read_text().splitlines()[1:]
    }
    assert used == set(parts.PARTS)
