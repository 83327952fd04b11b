import json
import ssl
import threading
import time
import urllib.error
import urllib.request

import pytest

from tests.cli import commands

TLS = commands.ROOT / 'tests' / 'tls'
TOKEN = 'a-token-for-tests-only'
OLD_TOKEN = 'the-token-before-it'


class Fleet:
    """An entry process and two stand-in runners, with TLS and token."""

    def __init__(self, folder, *, cert='server.pem'):
        self.folder = folder
        self.token = folder / 'token'
        self.token.write_text(f'{TOKEN}\n{OLD_TOKEN}\n')
        self._started = []
        tls = {
            'cert_file': str(TLS / cert),
            'key_file': str(TLS / 'server.key'),
        }
        self.port, internal = self._start(
            'entry',
            {
                'host_id': 'e1',
                'zones': ['evere'],
                'zone': 'evere',
                'token_file': 'token',
                'ca_file': str(TLS / 'ca.pem'),
                'listen': {'tls': tls},
                'internal_listen': {'tls': tls},
            },
        )
        self.url = f'https://127.0.0.1:{internal}'
        self.options = ['--host', self.url, '--token-file', self.token]
        for role in ('prefill', 'decode'):
            self._start(
                'standin',
                {
                    'runner_id': role,
                    'role': role,
                    'zone': 'evere',
                    'models': ['review'],
                    'step_s': 0.05,
                    'token_file': 'token',
                    'ca_file': str(TLS / 'ca.pem'),
                    'listen': {'tls': tls},
                    'announce_urls': [self.url],
                },
            )

    def _start(self, command, settings):
        name = settings.get('runner_id', command)
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log = self.folder / f'{name}.log'
        process = commands.Started(command, '--settings', path, log=log)
        self._started.append(process)
        return process.ports()

    def run_command(self, *args, ca='ca.pem'):
        """Run an operator's command; return its code, JSON and stderr."""
        options = [*self.options, '--ca-file', TLS / ca]
        code, out, err = commands.run_here(*args, '--json', *options)
        return code, json.loads(out), err

    def wait_for_runners(self, count):
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
            _, output, _ = self.run_command('runners')
            if len(output['runners']) == count:
                return
        raise AssertionError(output)

    def complete(self, tokens):
        body = {'model': 'review', 'prompt': 'p', 'max_tokens': tokens}
        request = urllib.request.Request(
            f'https://127.0.0.1:{self.port}/v1/completions',
            data=json.dumps(body).encode(),
        )
        try:
            trusted = ssl.create_default_context(cafile=TLS / 'ca.pem')
            with urllib.request.urlopen(
                request, timeout=30, context=trusted
            ) as response:
                return response.status
        except urllib.error.HTTPError as exc:
            return exc.code

    def stop(self):
        return [process.stop() for process in reversed(self._started)]


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    started = Fleet(tmp_path_factory.mktemp('fleet'))
    try:
        started.wait_for_runners(2)
        yield started
    finally:
        codes = started.stop()
    assert codes == [0, 0, 0]


def test_a_request_passes_through_tls_and_token(fleet):
    assert fleet.complete(2) == 200


def test_status(fleet):
    code, output, _ = fleet.run_command('status')
    host = output['hosts'][0]
    assert code == 0
    assert (host['host_id'], host['ready'], host['runners']) == ('e1', True, 2)


def test_tables_for_people(fleet):
    options = [*fleet.options, '--ca-file', TLS / 'ca.pem']
    code, out, _ = commands.run_here('runners', *options)
    assert code == 0
    assert 'decode' in out and '1 of 1' in out


def test_requests_in_progress_without_texts(fleet):
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(fleet.complete(60))
    )
    thread.start()
    output = {'requests': []}
    deadline_s = time.monotonic() + 20
    while not output['requests'] and time.monotonic() < deadline_s:
        _, output, _ = fleet.run_command('requests')
    thread.join()
    assert answers == [200]
    assert output['requests'][0]['outcome'] is None
    assert 'prompt' not in json.dumps(output)
    _, output, _ = fleet.run_command('requests', '--all')
    outcomes = {row['outcome'] for row in output['requests']}
    assert outcomes == {'completed'}


def test_drained_runner_gets_no_new_work(fleet):
    """An operator drains the one decode runner before a repair.

    The runner keeps announcing free slots. New requests must be refused
    and not sent to the runner; after --undo they are accepted again.
    """
    code, _, _ = fleet.run_command('drain', 'decode', '--wait', '10')
    assert code == 0
    _, output, _ = fleet.run_command('runners')
    leaving = {row['runner_id']: row['leaving'] for row in output['runners']}
    assert leaving == {'prefill': False, 'decode': True}
    # The drain must outlast two heartbeats of the runner.
    time.sleep(1)
    assert fleet.complete(2) == 503
    assert fleet.run_command('drain', 'decode', '--undo')[0] == 0
    deadline_s = time.monotonic() + 20
    while fleet.complete(2) != 200:
        assert time.monotonic() < deadline_s


def test_drain_of_an_unknown_runner(fleet):
    code, _, err = fleet.run_command('drain', 'nobody')
    assert code == 1
    assert "no host knows 'nobody'" in err
    assert fleet.run_command('drain', 'nobody', '--undo')[0] == 0


def test_drained_host_takes_no_new_work(fleet):
    assert fleet.run_command('drain', '--this-host')[0] == 0
    assert fleet.complete(1) == 503
    assert fleet.run_command('status')[0] == 1
    assert fleet.run_command('drain', '--this-host', '--undo')[0] == 0
    assert fleet.run_command('status')[0] == 0


@pytest.mark.parametrize(
    ('token', 'code'),
    [(TOKEN, 0), (OLD_TOKEN, 0), ('x' * 20, 3), (None, 3)],
)
def test_token_on_the_internal_port(fleet, tmp_path, token, code):
    path = tmp_path / 'token'
    path.write_text(token or '')
    options = ['--token-file', path] if token else []
    exit_code, _, err = commands.run(
        'status', '--host', fleet.url, '--ca-file', TLS / 'ca.pem', *options
    )
    assert exit_code == code
    assert ('the token is not accepted' in err) == (code == 3)


def test_certificate_of_another_authority_is_refused(fleet):
    code, _, err = fleet.run_command('status', ca='other-ca.pem')
    assert code == 3
    assert 'certificate verify failed' in err


def test_expired_certificate_is_reported(tmp_path):
    expired = Fleet(tmp_path, cert='expired.pem')
    try:
        code, _, err = expired.run_command('status')
    finally:
        expired.stop()
    assert code == 3
    assert 'certificate has expired' in err


def test_unreachable_host_is_reported():
    code, _, err = commands.run_here('status', '--host', 'http://127.0.0.1:9')
    assert code == 3
    assert 'http://127.0.0.1:9: no answer' in err


def test_wrong_host_url():
    code, _, err = commands.run_here('status', '--host', 'http://localhost:1')
    assert code == 2
    assert 'host.0: allowed is http://IP:PORT' in err


def test_port_in_use_is_reported(fleet, tmp_path):
    path = tmp_path / 'entry.json'
    settings = json.loads((fleet.folder / 'entry.json').read_text())
    settings['listen'] = {'port': fleet.port}
    settings['token_file'] = str(fleet.token)
    path.write_text(json.dumps(settings))
    code, out, err = commands.run_here('entry', '--settings', path)
    assert (code, out) == (2, '')
    assert 'cannot listen' in err


def test_https_without_a_ca_file_fails(fleet):
    """Without --ca-file the token must not be sent in plain text."""
    code, _, err = commands.run_here('status', *fleet.options)
    assert code == 3
    assert 'certificate verify failed' in err
