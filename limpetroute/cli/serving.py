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
from limpetroute.cli import exit_code
from limpetroute.telemetry import log_setup

LOG = logging.getLogger(__name__)

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


class Server(typing.Protocol):
    """Something that serves until told to stop."""

    def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """Finish what is in progress and end."""


def load_or_explain(model: type[_Model], path: str) -> _Model | None:
    """Load settings, or print every wrong field and return None."""
    try:
        return settings_file.load(model, pathlib.Path(path))
    except errors.InvalidInputError as exc:
        for line in exc.lines:
            print(f'{path}: {line}', file=sys.stderr)
        return None


def ignore_hangups() -> None:
    """Keep SIGHUP from ending the process.

    It says that the settings file has changed; the file is looked at
    again whenever its content is needed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class Rereading(typing.Generic[_Model]):
    """The settings file as it is now, read anew when it changes.

    Parameters
    ----------
    model : type
        Model of the settings.
    path : str
        The file.
    first : BaseModel
        What was read at the start; kept while the file is unusable.
    """

    def __init__(
        self, *, model: type[_Model], path: str, first: _Model
    ) -> None:
        self._model = model
        self._path = pathlib.Path(path)
        self._newest = first
        self._data = b''

    def __repr__(self) -> str:
        return f'{type(self).__name__}(path={str(self._path)!r})'

    def seeds(self) -> list[str]:
        """Return the seeds in the file."""
        self._look()
        return list(getattr(self._newest, 'seeds', []))

    def _look(self) -> None:
        try:
            data = settings_file.read(self._path)
            if data == self._data:
                return
            self._data = data
            self._newest = settings_file.parse(
                self._model, data, folder=self._path.parent
            )
        except errors.InvalidInputError as exc:
            LOG.error(
                'settings cannot be read again; the last ones stay',
                extra={'reason': str(exc)},
            )
            return
        LOG.info('settings read', extra={'path': str(self._path)})


def say_ready(text: str) -> None:
    """Write the line that says which ports are open.

    In one call with its end: log lines are written to the same output
    by another thread and may come between two.
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
    log_setup.set_up(stream=logs)
    ignore_hangups()
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
        # An address in use or not of this host: nothing serves, and the
        # parts begun before it are ended again.
        print(f'cannot listen: {exc}', file=sys.stderr)
        await server.stop()
        return exit_code.USAGE
    on_ready(server)
    await stopping.wait()
    await server.stop()
    return exit_code.DONE
