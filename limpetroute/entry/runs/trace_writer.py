"""Writes a trace of bounded length."""

import json
import logging
import pathlib
import typing

LOG = logging.getLogger(__name__)


class TraceWriter:
    """Writes lines of the trace format until its bytes are used up.

    Recording never stands in a request's way: a full disk or the bound
    ends it with one log line, and the host goes on.

    Parameters
    ----------
    path : Path
        New file.
    max_bytes : int
        Most bytes of the file.
    story : str
        First line's story.

    Raises
    ------
    FileExistsError
        If the file is there already.
    """

    __slots__ = ('_file', '_left_bytes', '_path')

    def __init__(
        self, *, path: pathlib.Path, max_bytes: int, story: str
    ) -> None:
        self._path = path
        self._left_bytes = max_bytes
        self._file: typing.BinaryIO | None = path.open('xb')
        self._put({'trace': 1, 'story': story})

    def __repr__(self) -> str:
        return f'{type(self).__name__}(path={str(self._path)!r})'

    def write(self, at_s: float, verb: str, **args: typing.Any) -> None:
        """Write one event of the router."""
        line = {'at_s': at_s, 'on': 'router', 'do': verb}
        if args:
            line['with'] = args
        self._put(line)

    def write_outcome(
        self, at_s: float, verb: str, expected: typing.Any
    ) -> None:
        """Write one event of the router whose outcome is stated."""
        line = {'at_s': at_s, 'on': 'router', 'do': verb}
        self._put({**line, 'expect': expected})

    def close(self) -> None:
        """End the file."""
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
        if len(line) > self._left_bytes:
            LOG.info('trace %s is full', self._path)
            self.close()
            return
        try:
            self._file.write(line)
        except OSError as exc:
            LOG.warning('trace %s: %s', self._path, exc.strerror)
            self._file = None
            return
        self._left_bytes -= len(line)
