import json
import time
import urllib.request

import pytest

from limpetroute.cli import main
from limpetroute.entry.runs import trace_writer
from limpetroute.replay import replayer
from limpetroute.replay import trace_reader
from tests.whole_path import processes

PROMPT = 'the secret wording of a guarantee'


def _entry_settings(path, max_bytes):
    return {
        'host_id': 'e1',
        'zone': 'evere',
        'zones': ['evere'],
        'record_trace': {'file': str(path), 'max_bytes': max_bytes},
    }


def _serve_and_record(folder, path, max_bytes=1 << 20):
    """Serve one request with an entry host that records a trace."""
    started = []
    try:
        settings = _entry_settings(path, max_bytes)
        entry = processes.Process('entry', settings, folder, 'entry')
        started.append(entry)
        port, internal = entry.wait_ready()
        for role in ('prefill', 'decode'):
            runner = processes.Process(
                'standin',
                {
                    'runner_id': role,
                    'role': role,
                    'zone': 'evere',
                    'models': ['review'],
                    'heartbeat_s': 0.1,
                    'announce_urls': [f'http://127.0.0.1:{internal}'],
                },
                folder,
                role,
            )
            started.append(runner)
            runner.wait_ready()
        processes.wait_for_runners(internal, 2)
        body = {'model': 'review', 'prompt': PROMPT, 'max_tokens': 5}
        request = urllib.request.Request(
            f'http://127.0.0.1:{port}/v1/completions',
            data=json.dumps(body).encode(),
        )
        with urllib.request.urlopen(request, timeout=20) as response:
            assert response.status == 200
    finally:
        codes = [process.stop() for process in reversed(started)]
    assert codes == [0] * len(started)


def test_recorded_trace_replays_with_the_same_decisions(tmp_path, capsys):
    path = tmp_path / 'recorded.jsonl'
    _serve_and_record(tmp_path, path)
    data = path.read_bytes()
    assert PROMPT.encode() not in data
    kinds = {
        action['is']
        for line in data.splitlines()[1:]
        for action in json.loads(line).get('expect', [])
    }
    assert kinds == {'StartPrefill', 'StartDecode'}
    assert main.main(['replay', str(path)]) == 0


def test_recording_is_bounded(tmp_path):
    path = tmp_path / 'recorded.jsonl'
    _serve_and_record(tmp_path, path, max_bytes=4096)
    data = path.read_bytes()
    assert 0 < len(data) <= 4096
    steps = replayer.replay(trace_reader.read(data))
    assert all(step.agrees for step in steps)


def test_existing_trace_is_never_overwritten(tmp_path):
    path = tmp_path / 'recorded.jsonl'
    path.write_text('mine')
    with pytest.raises(FileExistsError):
        trace_writer.TraceWriter(path=path, max_bytes=4096, story='s')
    assert path.read_text() == 'mine'


def test_full_disk_stops_only_the_recording(caplog):
    writer = trace_writer.TraceWriter.__new__(trace_writer.TraceWriter)
    writer._path = '/dev/full'
    writer._remaining_bytes = 1 << 20
    writer._file = open('/dev/full', 'wb', buffering=0)  # noqa: SIM115
    writer.write(time.monotonic(), 'tokens', work_id='w', count=1)
    writer.write(time.monotonic(), 'tokens', work_id='w', count=1)
    assert [record.levelname for record in caplog.records] == ['WARNING']
    writer.close()
