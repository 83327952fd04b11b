"""Runs ``limpetroute`` commands for tests."""

import contextlib
import io
import os
import pathlib
import re
import signal
import subprocess
import sys

from limpetroute.cli import main
from tests.whole_path import processes

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 30
ENVIRONMENT = {**os.environ, 'PYTHONPATH': str(ROOT)}


def run(*args, cwd=ROOT):
    """Run a command to its end; return its code, stdout and stderr."""
    completed = subprocess.run(
        [sys.executable, '-m', 'limpetroute', *map(str, args)],
        cwd=cwd,
        env=ENVIRONMENT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    return completed.returncode, completed.stdout, completed.stderr


def run_here(*args):
    """Run a command in this process, which is faster than `run`."""
    out = io.StringIO()
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main.main([str(arg) for arg in args])
    return code, out.getvalue(), err.getvalue()


class Started:
    """A server process started by its command."""

    def __init__(self, *args, log, cwd=ROOT, program=None):
        program = program or [sys.executable, '-m', 'limpetroute']
        self._log = log.open('w')
        self._popen = subprocess.Popen(
            [*program, *map(str, args)],
            cwd=cwd,
            env=ENVIRONMENT,
            stdout=subprocess.PIPE,
            stderr=self._log,
            text=True,
        )

    @property
    def pid(self):
        return self._popen.pid

    def ports(self):
        """Wait for the ready line and return its ports."""
        line = processes.next_plain_line(self._popen.stdout)
        assert line.startswith('ready'), line
        return [int(word) for word in re.findall(r'[ :](\d+)', line)]

    def line(self):
        """Return the next line of output."""
        return processes.next_plain_line(self._popen.stdout).strip()

    def stop(self, number=signal.SIGTERM):
        if self._popen.poll() is None:
            self._popen.send_signal(number)
        code = self._popen.wait(timeout=TIMEOUT_S)
        self._popen.stdout.close()
        self._log.close()
        return code
