import json
import os
import pathlib
import resource
import shutil
import subprocess
import sys
import urllib.request

import pytest

from tests.cli import commands


@pytest.fixture(scope='module')
def shipped(tmp_path_factory):
    path = tmp_path_factory.mktemp('dist') / 'limpetroute'
    builder = commands.ROOT / 'build_tools' / 'build_dist.py'
    subprocess.run([sys.executable, builder, path], check=True)
    return path


def _environment(root):
    variables = {key: os.environ[key] for key in ('PATH', 'HOME')}
    return {**variables, 'SHIV_ROOT': str(root)}


def _run(shipped, root, *args, preexec_fn=None):
    # -S and -I keep Python from importing a library of this environment
    # that is missing in the shipped file.
    return subprocess.run(
        [sys.executable, '-I', '-S', shipped, *args],
        env=_environment(root),
        cwd=root.parent,
        capture_output=True,
        text=True,
        timeout=60,
        preexec_fn=preexec_fn,
    )


def _children(pid):
    found = []
    for path in pathlib.Path('/proc').glob('[0-9]*/stat'):
        try:
            text = path.read_text()
        except OSError:
            continue
        parent = int(text.rpartition(')')[2].split()[1])
        if parent == pid:
            found.append(text)
    return found


def test_shipped_file_serves_and_starts_no_process(shipped, tmp_path):
    assert _run(shipped, tmp_path / 'root', '--version').returncode == 0
    process = commands.Started(
        'demo',
        '--port',
        '0',
        log=tmp_path / 'log',
        cwd=tmp_path,
        program=[
            'env',
            '-i',
            f'SHIV_ROOT={tmp_path / "root"}',
            sys.executable,
            '-I',
            '-S',
            str(shipped),
        ],
    )
    try:
        (port,) = process.ports()
        request = urllib.request.Request(
            f'http://127.0.0.1:{port}/v1/completions',
            data=json.dumps({'model': 'review', 'prompt': 'p'}).encode(),
        )
        with urllib.request.urlopen(request, timeout=20) as response:
            assert response.headers['Limpetroute-Outcome'] == 'completed'
        # This process has a child, which shows that _children finds one.
        assert _children(os.getpid())
        assert _children(process.pid) == []
    finally:
        code = process.stop()
    assert code == 0


def test_shipped_file_checks_the_examples(shipped, tmp_path):
    names = (commands.ROOT / 'examples' / 'federation').glob('*.json')
    completed = _run(shipped, tmp_path / 'root', 'check', *sorted(names))
    assert (completed.returncode, completed.stderr) == (0, '')


def test_full_disk_is_reported_and_leaves_no_partial_folder(shipped, tmp_path):
    """The disk is full when the shipped file is started first.

    Unpacking fails in the middle of a library. When the disk has space
    again, the next start must not use the partly unpacked folder.
    """

    def limit_file_size():
        resource.setrlimit(resource.RLIMIT_FSIZE, (1 << 20, 1 << 20))

    root = tmp_path / 'root'
    completed = _run(shipped, root, '--version', preexec_fn=limit_file_size)
    assert completed.returncode == 2
    assert f'cannot unpack into {root}' in completed.stderr
    assert 'Traceback' not in completed.stderr
    assert _run(shipped, root, '--version').returncode == 0


def test_unusable_folder_is_reported(shipped):
    completed = _run(shipped, pathlib.Path('/proc/nowhere'), '--version')
    assert completed.returncode == 2
    assert 'set SHIV_ROOT' in completed.stderr


def test_pip_install_provides_the_command(tmp_path):
    for name in ('pyproject.toml', 'README.md'):
        shutil.copy(commands.ROOT / name, tmp_path)
    shutil.copytree(commands.ROOT / 'limpetroute', tmp_path / 'limpetroute')
    subprocess.run(
        [
            sys.executable,
            '-m',
            'pip',
            'install',
            '--quiet',
            '--no-deps',
            '--no-index',
            '--no-build-isolation',
            '--target',
            tmp_path / 'installed',
            tmp_path,
        ],
        check=True,
    )
    completed = subprocess.run(
        [tmp_path / 'installed' / 'bin' / 'limpetroute', '--version'],
        env={**os.environ, 'PYTHONPATH': str(tmp_path / 'installed')},
        cwd=tmp_path / 'installed',
        capture_output=True,
        text=True,
    )
    assert completed.stdout.startswith('limpetroute ')
