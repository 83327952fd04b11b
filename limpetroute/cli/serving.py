"""Runs a server until SIGINT or SIGTERM."""

import asyncio
import logging
import pathlib
import signal
import sys
import typing

import pydantic

from limpetroute.border import errors
from limpetroute.border import settings_file
from limpetroute.cli import allocator
from limpetroute.cli import exit_code
from limpetroute.telemetry import log_setup

LOG = logging.getLogger(__name__)

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


class Server(typing.Protocol):
    """A server that runs from `start` to `stop`."""

    def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Finish work in progress and stop serving."""


def load_or_explain(model: type[_Model], path: str) -> _Model | None:
    """Load settings, or print every wrong field and return None."""
    try:
        return settings_file.load(model, pathlib.Path(path))
    except errors.InvalidInputError as exc:
        for line in exc.lines:
            print(f'{path}: {line}', file=sys.stderr)
        return None


class ReloadedSettings(typing.Generic[_Model]):
    """Reads the settings file again when its content changes.

    Parameters
    ----------
    model : type
        Model of the settings.
    path : str
        Path of the settings file.
    first : BaseModel
        Settings read at the start, used until the file is read again.
        While the file is invalid, the last valid settings stay in use.
    """

    def __init__(
        self, *, model: type[_Model], path: str, first: _Model
    ) -> None:
        self._model = model
        self._path = pathlib.Path(path)
        self._settings = first
        self._data = b''

    def __repr__(self) -> str:
        return f'{type(self).__name__}(path={str(self._path)!r})'

    def seeds(self) -> list[str]:
        """Return the seeds in the last valid settings."""
        self._reload_if_changed()
        return list(getattr(self._settings, 'seeds', []))

    def _reload_if_changed(self) -> None:
        try:
            data = settings_file.read(self._path)
            if data == self._data:
                return
            self._data = data
            self._settings = settings_file.parse(
                self._model, data, folder=self._path.parent
            )
        except errors.InvalidInputError as exc:
            LOG.error(
                'settings cannot be read again; keeping the last valid ones',
                extra={'reason': str(exc)},
            )
            return
        LOG.info('settings read', extra={'path': str(self._path)})


def print_ready_line(text: str) -> None:
    """Print the line that names the open ports.

    The text and its newline are written in one call, because another
    thread writes log lines to the same output and could write between
    two calls.
    """
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def serve(
    make: typing.Callable[[], Server],
    on_ready: typing.Callable[[typing.Any], None],
    logs: typing.TextIO | None = None,
) -> int:
    """Make a server, run it until a signal, and return the exit code.

    Logs go to ``logs``, or to standard output.
    """
    allocator.release_large_blocks()
    log_setup.set_up(stream=logs)
    return asyncio.run(_serve(make, on_ready))


async def _serve(
    make: typing.Callable[[], Server],
    on_ready: typing.Callable[[typing.Any], None],
) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    try:
        server = make()
    except OSError as exc:
        print(f'cannot start: {exc}', file=sys.stderr)
        return exit_code.USAGE
    try:
        server.start()
    except OSError as exc:
        # The address is in use or does not belong to this host. Stop the
        # parts of the server that have already started.
        print(f'cannot listen: {exc}', file=sys.stderr)
        await server.stop()
        return exit_code.USAGE
    on_ready(server)
    await stopping.wait()
    await server.stop()
    return exit_code.DONE
