"""Writes a trace file of limited size."""

import json
import logging
import pathlib
import typing

LOG = logging.getLogger(__name__)


class TraceWriter:
    """Writes lines in the trace format up to a maximum file size.

    Recording must not disturb requests. A write error or a full file
    ends the recording with one log line, and the host continues.

    Parameters
    ----------
    path : Path
        Path of the file, which must not exist.
    max_bytes : int
        Maximum size of the file, in bytes.
    story : str
        Description of the trace, written to the first line.

    Raises
    ------
    FileExistsError
        If the file exists.
    """

    __slots__ = ('_file', '_remaining_bytes', '_path')

    def __init__(
        self, *, path: pathlib.Path, max_bytes: int, story: str
    ) -> None:
        self._path = path
        self._remaining_bytes = max_bytes
        self._file: typing.BinaryIO | None = path.open('xb')
        self._put({'trace': 1, 'story': story})

    def __repr__(self) -> str:
        return f'{type(self).__name__}(path={str(self._path)!r})'

    def write(self, at_s: float, verb: str, **args: typing.Any) -> None:
        """Write a call of the router with its arguments."""
        line = {'at_s': at_s, 'on': 'router', 'do': verb}
        if args:
            line['with'] = args
        self._put(line)

    def write_outcome(
        self, at_s: float, verb: str, expected: typing.Any
    ) -> None:
        """Write a call of the router with the result it returned."""
        line = {'at_s': at_s, 'on': 'router', 'do': verb}
        self._put({**line, 'expect': expected})

    def close(self) -> None:
        """Close the file."""
        if self._file is None:
            return
        try:
            self._file.close()
        except OSError as exc:
            LOG.warning('trace %s: %s', self._path, exc.strerror)
        self._file = None

    def _put(self, body: dict[str, typing.Any]) -> None:
        if self._file is None:
            return
        line = json.dumps(body, separators=(',', ':')).encode() + b'\n'
        if len(line) > self._remaining_bytes:
            LOG.info('trace %s is full', self._path)
            self.close()
            return
        try:
            self._file.write(line)
        except OSError as exc:
            LOG.warning('trace %s: %s', self._path, exc.strerror)
            self._file = None
            return
        self._remaining_bytes -= len(line)
