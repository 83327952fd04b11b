import json
import urllib.request

from limpetroute.standins import answer_text
from tests.whole_path import processes


def _post(port, path, body):
    request = urllib.request.Request(
        f'http://127.0.0.1:{port}{path}', json.dumps(body).encode()
    )
    with urllib.request.urlopen(request, timeout=20) as got:
        return got.status, dict(got.headers), got.read()


def test_one_request_through_four_processes(tmp_path):
    """A clerk sends a wording and reads the verdict word by word.

    Control, entry, a prefill and a decode runner are processes of
    their own, each started by its command and settings file.
    """
    started = []
    try:
        control = processes.Process(
            'control',
            {
                'host_id': 'c1',
                'zone': 'evere',
                'data_dir': str(tmp_path / 'data'),
            },
            tmp_path,
            'control',
        )
        started.append(control)
        (control_port,) = control.wait_ready()
        entry = processes.Process(
            'entry',
            {
                'host_id': 'e1',
                'zone': 'evere',
                'zones': ['evere'],
                'control_urls': [f'http://127.0.0.1:{control_port}'],
            },
            tmp_path,
            'entry',
        )
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
                    'announce_urls': [f'http://127.0.0.1:{internal}'],
                },
                tmp_path,
                role,
            )
            started.append(runner)
            runner.wait_ready()
        processes.wait_for_runners(internal, 2)
        prompt = 'Check this guarantee\nIt runs until June.'
        body = {'model': 'review', 'prompt': prompt, 'max_tokens': 12}
        status, headers, whole = _post(port, '/v1/completions', body)
        want = answer_text.whole_answer(prompt, 12)
        assert status == 200
        assert headers['Limpetroute-Outcome'] == 'completed'
        assert json.loads(whole)['choices'][0]['text'] == want
        _, _, streamed = _post(
            port, '/v1/completions', {**body, 'stream': True}
        )
        events = [
            line[6:]
            for line in streamed.decode().splitlines()
            if line.startswith('data: ')
        ]
        assert events[-1] == '[DONE]'
        text = ''.join(
            json.loads(event)['choices'][0]['text'] for event in events[:-1]
        )
        assert text == want
    finally:
        codes = [process.stop() for process in reversed(started)]
    assert codes == [0] * len(started)
