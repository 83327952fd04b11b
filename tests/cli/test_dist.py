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
    kept = {key: os.environ[key] for key in ('PATH', 'HOME')}
    return {**kept, 'SHIV_ROOT': str(root)}


def _run(shipped, root, *args, preexec_fn=None):
    # -S and -I: nothing of this environment may stand in for a library
    # that was left out of the file.
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
        call = urllib.request.Request(
            f'http://127.0.0.1:{port}/v1/completions',
            data=json.dumps({'model': 'review', 'prompt': 'p'}).encode(),
        )
        with urllib.request.urlopen(call, timeout=20) as got:
            assert got.headers['Limpetroute-Outcome'] == 'completed'
        # The count itself is tried on this process, which has a child.
        assert _children(os.getpid())
        assert _children(process.pid) == []
    finally:
        code = process.stop()
    assert code == 0


def test_shipped_file_checks_the_examples(shipped, tmp_path):
    names = (commands.ROOT / 'examples' / 'federation').glob('*.json')
    done = _run(shipped, tmp_path / 'root', 'check', *sorted(names))
    assert (done.returncode, done.stderr) == (0, '')


def test_full_disk_is_said_and_leaves_nothing_half(shipped, tmp_path):
    """A host's disk is full when the new version is first started.

    The unpacking breaks off in the middle of a library. Once there is
    room again, the next start must not use the half folder.
    """

    def no_room():
        resource.setrlimit(resource.RLIMIT_FSIZE, (1 << 20, 1 << 20))

    root = tmp_path / 'root'
    done = _run(shipped, root, '--version', preexec_fn=no_room)
    assert done.returncode == 2
    assert f'cannot unpack into {root}' in done.stderr
    assert 'Traceback' not in done.stderr
    assert _run(shipped, root, '--version').returncode == 0


def test_unusable_folder_is_said(shipped):
    done = _run(shipped, pathlib.Path('/proc/nowhere'), '--version')
    assert done.returncode == 2
    assert 'set SHIV_ROOT' in done.stderr


def test_pip_install_gives_the_command(tmp_path):
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
    done = subprocess.run(
        [tmp_path / 'installed' / 'bin' / 'limpetroute', '--version'],
        env={**os.environ, 'PYTHONPATH': str(tmp_path / 'installed')},
        cwd=tmp_path / 'installed',
        capture_output=True,
        text=True,
    )
    assert done.stdout.startswith('limpetroute ')
