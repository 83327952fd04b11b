import json
import shutil
import time
import urllib.request

from tests.cli import commands


def _wait(*args, until, seconds):
    """Repeat a command until `until` accepts its code and JSON."""
    deadline_s = time.monotonic() + seconds
    while True:
        code, out, err = commands.run(*args, '--json')
        if until(code, json.loads(out)):
            return
        assert time.monotonic() < deadline_s, (code, out, err)
        time.sleep(0.2)


def _post(address, path, body, headers=None):
    request = urllib.request.Request(
        f'http://{address}:8080{path}',
        data=json.dumps(body).encode(),
        headers={'Content-Type': 'application/json', **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=20) as response:
        return response.headers['Limpetroute-Outcome'], response.read()


def _address(folder, name):
    path = folder / f'{name}.json'
    return json.loads(path.read_text())['listen']['address']


def _use_deployment(folder):
    """Submit a manifest, complete requests and repeat a keyed request."""
    settings = folder / 'entry-1.json'
    options = ['--settings', settings]
    _wait(
        'runners',
        *options,
        until=lambda code, output: (code, len(output['runners'])) == (0, 6),
        seconds=20,
    )
    # A host takes no work for one lease after its start, until promises
    # that hosts may have given before a restart have expired.
    _wait('status', *options, until=lambda code, output: code == 0, seconds=40)
    urls = json.loads(settings.read_text())['control_urls']
    code, _, err = commands.run(
        'submit',
        folder / 'manifest-1.json',
        '--control',
        ','.join(urls),
        '--token-file',
        folder / 'token',
    )
    assert (code, err) == (0, '')
    _, out, _ = commands.run('status', *options, '--json')
    output = json.loads(out)
    assert {item['manifest_number'] for item in output['hosts']} == {1}
    leaders = {item['groups'][0]['leader_host'] for item in output['control']}
    assert (len(output['control']), len(leaders)) == (3, 1)
    _, out, _ = commands.run('status', *options)
    assert 'unsettled claims' in out
    for name in ('entry-1', 'entry-7'):
        outcome, _ = _post(
            _address(folder, name),
            '/v1/completions',
            {'model': 'review', 'prompt': 'p'},
        )
        assert outcome == 'completed'
    replies = [
        _post(
            _address(folder, name),
            '/v1/services/registry/release-confirmations',
            {'guarantee': 7},
            {'Idempotency-Key': 'release-7'},
        )
        for name in ('entry-2', 'entry-3')
    ]
    # Both hosts received the same key: the confirmation ran once, and both
    # hosts returned its answer.
    outcomes = [outcome for outcome, _ in replies]
    assert outcomes == ['completed', 'already_delivered']
    assert replies[0][1] == replies[1][1]


def test_whole_deployment_from_its_examples(tmp_path):
    """Starts and uses the federation deployment.

    The other deployment has files of the same form and takes a dozen
    seconds to start, so only test_check covers its files.
    """
    folder = tmp_path / 'examples' / 'federation'
    shutil.copytree(commands.ROOT / 'examples' / 'federation', folder)
    started = []
    try:
        for path in sorted(folder.glob('*.json')):
            if path.name.startswith('manifest'):
                continue
            command = path.name.partition('-')[0]
            if command not in ('entry', 'control'):
                command = 'standin'
            log = tmp_path / f'{path.stem}.log'
            started.append(
                commands.Started(command, '--settings', path, log=log)
            )
        for process in started:
            process.ports()
        _use_deployment(folder)
    finally:
        codes = [process.stop() for process in reversed(started)]
    assert codes == [0] * len(started)
