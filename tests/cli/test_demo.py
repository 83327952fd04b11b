import json
import shlex
import signal
import time
import urllib.request

from tests.cli import commands


def _curl(line):
    """Send the request of a curl command line; return the response."""
    words = shlex.split(line)
    assert words[0] == 'curl'
    url = next(word for word in words if word.startswith('http'))
    header = words[words.index('-H') + 1].split(': ')
    data = words[words.index('-d') + 1].encode()
    request = urllib.request.Request(url, data=data, headers=dict([header]))
    with urllib.request.urlopen(request, timeout=20) as response:
        return response.read().decode()


def test_commands_printed_by_the_demo_work(tmp_path):
    process = commands.Started('demo', '--port', '0', log=tmp_path / 'log')
    try:
        process.ports()
        curl, status, submit = [process.line() for _ in range(3)]
        _, *words = shlex.split(status)
        deadline_s = time.monotonic() + 20
        while True:
            code, out, err = commands.run(*words, '--json')
            if code == 0 and json.loads(out)['hosts'][0]['runners'] == 3:
                break
            assert time.monotonic() < deadline_s, err
        assert _curl(curl).endswith('data: [DONE]\n\n')
        code, _, err = commands.run(*shlex.split(submit)[1:])
        assert (code, err) == (0, '')
        code, out, _ = commands.run(*words, '--json')
        assert json.loads(out)['hosts'][0]['manifest_number'] == 1
    finally:
        code = process.stop(signal.SIGINT)
    assert code == 0
    assert 'Traceback' not in (tmp_path / 'log').read_text()


def test_port_in_use(tmp_path):
    process = commands.Started('demo', '--port', '0', log=tmp_path / 'log')
    try:
        (port,) = process.ports()
        code, out, err = commands.run('demo', '--port', port)
        assert (code, out) == (2, '')
        assert 'cannot listen' in err
    finally:
        assert process.stop() == 0


def test_wrong_port():
    code, _, err = commands.run('demo', '--port', '65536')
    assert code == 2
    assert '--port' in err
