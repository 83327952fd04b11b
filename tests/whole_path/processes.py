"""Starts the product's processes for a test, each by its command."""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time
import typing
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 20
LOG_TAIL_LINES = 3


class NotReadyError(Exception):
    """A process ended, or failed, before it was ready."""


class Process:
    """One ``limpetroute`` process with a settings file of its own."""

    def __init__(
        self,
        command: str,
        settings: dict[str, typing.Any],
        folder: pathlib.Path,
        name: str,
    ) -> None:
        self._name = name
        path = folder / f'{name}.json'
        path.write_text(json.dumps({'demo': True, **settings}))
        self._log_path = folder / f'{name}.log'
        self._log = self._log_path.open('w')
        self._popen = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'limpetroute',
                command,
                '--settings',
                str(path),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            text=True,
        )
        self.ready_line = ''
        self._copier: threading.Thread | None = None

    @property
    def pid(self) -> int:
        return self._popen.pid

    def wait_ready(self) -> list[int]:
        """Return the ports of the ready line.

        Raises
        ------
        NotReadyError
            If the process printed no ready line.
        """
        assert self._popen.stdout is not None
        self.ready_line = next_plain_line(self._popen.stdout)
        if not self.ready_line.startswith('ready:'):
            log = self._log_path.read_text().splitlines()
            tail = '; '.join([self.ready_line, *log[-LOG_TAIL_LINES:]])
            raise NotReadyError(f'{self._name}: {tail}')
        # Log lines go to standard output too. Without a reader the pipe
        # fills up, and the log of a failed run would be empty.
        self._copier = threading.Thread(
            target=self._copy_log, args=(self._popen.stdout,), daemon=True
        )
        self._copier.start()
        return [int(word) for word in re.findall(r' (\d+)', self.ready_line)]

    def _copy_log(self, stream: typing.TextIO) -> None:
        for line in stream:
            self._log.write(line)
            self._log.flush()

    def send_signal(self, number: int) -> None:
        self._popen.send_signal(number)

    def stop(self, number: int = signal.SIGTERM) -> int:
        if self._popen.poll() is None:
            self._popen.send_signal(number)
        code = self._popen.wait(timeout=READY_S)
        if self._copier is not None:
            self._copier.join(READY_S)
        if self._popen.stdout is not None:
            self._popen.stdout.close()
        self._log.close()
        return code


def next_plain_line(stream):
    """Return the next line that is no log line; those are JSON."""
    while True:
        line = stream.readline()
        if not line.startswith('{'):
            return line


def wait_for_runners(port, count):
    """Wait until an internal port knows so many runners."""
    for _ in range(200):
        url = f'http://127.0.0.1:{port}/v1/runners'
        with urllib.request.urlopen(url, timeout=5) as got:
            if len(json.loads(got.read())['runners']) == count:
                return
        time.sleep(0.05)
    raise AssertionError('runners did not announce')
