import json

import pytest

from limpetroute.cli import main
from tests.cli import commands

EXAMPLES = commands.ROOT / 'examples'
TRUST = {'token_file': 'token'}
ENTRY = {'host_id': 'e1', 'zones': ['evere'], 'zone': 'evere', **TRUST}
CONTROL = {'host_id': 'c1', 'zone': 'evere', 'data_dir': 'data', **TRUST}
RUNNER = {
    'runner_id': 'r1',
    'role': 'decode',
    'zone': 'evere',
    'announce_urls': ['http://127.0.0.1:1'],
}
MANIFEST = {'number': 1, 'models': [{'name': 'm', 'version': '1'}]}


def _check(tmp_path, capsys, *bodies, options=()):
    (tmp_path / 'token').write_text('a' * 16)
    names = []
    for index, body in enumerate(bodies):
        text = body if isinstance(body, str) else json.dumps(body)
        path = tmp_path / f'{index}.json'
        path.write_text(text)
        names.append(str(path))
    code = main.main(['check', '--json', *options, *names])
    output = json.loads(capsys.readouterr().out)
    lines = [line for item in output['files'] for line in item['errors']]
    kinds = [item['kind'] for item in output['files']]
    return code, lines, kinds, output['together']


@pytest.mark.parametrize(
    ('body', 'kind'),
    [
        (ENTRY, 'entry'),
        (CONTROL, 'control'),
        (RUNNER, 'standin'),
        (MANIFEST, 'manifest'),
    ],
)
def test_kind_is_guessed_from_the_fields(tmp_path, capsys, body, kind):
    result = _check(tmp_path, capsys, body)
    assert result == (0, [], [kind], [])


@pytest.mark.parametrize(
    ('body', 'path', 'allowed'),
    [
        ({**ENTRY, 'zone': 'mars'}, 'zone', 'one of evere'),
        ({**ENTRY, 'zones': []}, 'zones', 'at least 1'),
        ({**ENTRY, 'host_id': 'a b'}, 'host_id', 'pattern'),
        ({**ENTRY, 'token_gap_s': '31ms'}, 'token_gap_s', 'number'),
        ({**ENTRY, 'token_gap_ms': 31}, 'token_gap_ms', 'near it: token_gap'),
        ({**ENTRY, 'token_gap_s': -1}, 'token_gap_s', 'greater than 0'),
        (
            {**ENTRY, 'listen': {'address': 'localhost'}},
            'listen.address',
            'IP address',
        ),
        ({**ENTRY, 'listen': {'port': 65536}}, 'listen.port', '65535'),
        (
            {**ENTRY, 'listen': {'host': '::1'}},
            'listen.host',
            'allowed: address, port, tls',
        ),
        (
            {**ENTRY, 'peer_urls': ['http://127.0.0.1:1', 'http://a:1']},
            'peer_urls.1',
            'http://IP:PORT',
        ),
        ({**ENTRY, 'peer_urls': ['ftp://1.1.1.1:1']}, 'peer_urls.0', 'http'),
        ({**ENTRY, 'peer_urls': ['http://1.1.1.1']}, 'peer_urls.0', 'PORT'),
        ({**ENTRY, 'token_file': None}, 'token_file', 'demo'),
        ({**ENTRY, 'token_file': 'gone'}, 'token_file', 'cannot be read'),
        ({**ENTRY, 'ca_file': '0.json'}, 'ca_file', 'PEM'),
        (
            {
                **ENTRY,
                'listen': {'tls': {'cert_file': 'x', 'key_file': 'token'}},
            },
            'listen.tls.cert_file',
            'cannot be read',
        ),
        ({**CONTROL, 'data_dir': 7}, 'data_dir', 'valid string'),
        ({**CONTROL, 'election_s': 0.3}, 'election_s', 'three times'),
        (
            {**CONTROL, 'peer_urls': ['http://1.1.1.1:1'] * 2},
            'peer_urls.1',
            'twice',
        ),
        ({**RUNNER, 'role': 'both'}, 'role', "'decode' or 'service'"),
        ({**MANIFEST, 'number': 0}, 'number', 'equal to 1'),
        (
            {**MANIFEST, 'models': MANIFEST['models'] * 2},
            'models.1.name',
            'twice',
        ),
        (
            {
                **MANIFEST,
                'pools': [
                    {
                        'name': 'p',
                        'models': ['m', 'x'],
                        'prefill': 1,
                        'decode': 1,
                    }
                ],
            },
            'pools.0.models.1',
            'allowed: m',
        ),
        ('{"zones": ["a"], "zones": ["b"]}', 'zones', 'twice'),
        ('{"zones": [', '(whole)', 'kind not known'),
    ],
)
def test_each_wrong_field_is_reported(tmp_path, capsys, body, path, allowed):
    code, lines, _, _ = _check(tmp_path, capsys, body)
    assert code == 2
    assert any(
        line.startswith(f'{path}: ') and allowed in line for line in lines
    ), lines


def test_all_errors_are_reported_at_once(tmp_path, capsys):
    body = {'zones': ['evere'], 'zone': 'mars', 'listen': {'port': 'x'}}
    _, lines, _, _ = _check(tmp_path, capsys, body)
    paths = [line.split(':')[0] for line in lines]
    assert sorted(paths) == ['host_id', 'listen.port', 'zone']


def test_broken_json_names_line_and_column(tmp_path, capsys):
    _, lines, _, _ = _check(
        tmp_path, capsys, '{"host_id":\n x}', options=['--kind', 'entry']
    )
    assert 'line 2 column 2' in lines[0]


def test_files_are_checked_against_each_other(tmp_path, capsys):
    listen = {'listen': {'address': '127.0.0.1', 'port': 81}}
    code, lines, _, together = _check(
        tmp_path,
        capsys,
        {**ENTRY, **listen},
        {**ENTRY, 'internal_listen': listen['listen']},
        {**RUNNER, 'zone': 'mars'},
    )
    assert (code, lines) == (2, [])
    found = [line.split(': ')[1:3] for line in together]
    assert found[0] == ['host_id', f'e1 is taken by {tmp_path / "0.json"}']
    assert found[1][0] == 'listen'
    assert found[2][0] == 'zone'


@pytest.mark.parametrize('deployment', ['federation', 'kleingarten'])
def test_examples_can_be_used(capsys, deployment):
    names = [str(path) for path in (EXAMPLES / deployment).glob('*.json')]
    code = main.main(['check', '--json', *names])
    output = json.loads(capsys.readouterr().out)
    kinds = [item['kind'] for item in output['files']]
    runners = {'federation': 6, 'kleingarten': 8}[deployment]
    assert code == 0
    assert kinds.count('entry') == 7
    assert kinds.count('standin') == runners
    assert kinds.count('manifest') == 1


@pytest.mark.parametrize(
    'path', sorted((commands.ROOT / 'experiments').glob('*.json'))
)
def test_experiments_can_be_used(capsys, path):
    assert main.main(['check', str(path)]) == 0
    assert 'experiment, can be used' in capsys.readouterr().out


def test_wrong_settings_start_nothing(tmp_path):
    path = tmp_path / 'entry.json'
    path.write_text(json.dumps({**ENTRY, 'zone': 'mars'}))
    code, out, err = commands.run('entry', '--settings', path)
    assert (code, out) == (2, '')
    assert f'{path}: zone: allowed is one of evere' in err
