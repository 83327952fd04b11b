"""Runs control, entry and stand-in runners as tasks of one process."""

import pathlib
import tempfile
import typing

from limpetroute.border import control_settings
from limpetroute.border import entry_settings
from limpetroute.border import listen_settings
from limpetroute.border import standin_settings
from limpetroute.control import server as control_server
from limpetroute.entry import server as entry_server
from limpetroute.standins import engine_server
from limpetroute.standins import service_server

ZONE = 'demo'
MODEL = 'review'
SERVICE = 'registry'


class DemoFleet:
    """One control host, one entry host and three stand-in runners.

    Parameters
    ----------
    port : int
        Port for callers.
    """

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._folder = tempfile.TemporaryDirectory(prefix='limpetroute-')
        self._control = control_server.ControlServer(
            settings=control_settings.ControlSettings(
                demo=True,
                host_id='control-1',
                zone=ZONE,
                data_dir=pathlib.Path(self._folder.name),
            )
        )
        self._entry: entry_server.EntryServer | None = None
        self._runners: list[_Runner] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    @property
    def port(self) -> int:
        """Port for callers."""
        return self._entry.port if self._entry else self._port

    @property
    def internal_url(self) -> str:
        """URL of the entry host's internal port, for operator commands."""
        port = self._entry.internal_port if self._entry else 0
        return f'http://127.0.0.1:{port}'

    @property
    def control_url(self) -> str:
        """URL of the control host, for submitting manifests."""
        return self._control.url

    def start(self) -> None:
        """Start the control host, the entry host and the runners."""
        self._control.start()
        self._entry = entry_server.EntryServer(
            settings=entry_settings.EntrySettings(
                demo=True,
                host_id='entry-1',
                zone=ZONE,
                zones=[ZONE],
                listen=listen_settings.ListenSettings(port=self._port),
                control_urls=[self._control.url],
            )
        )
        self._entry.start()
        for role in ('prefill', 'decode'):
            settings = self._standin(role, models=[MODEL])
            self._add(engine_server.EngineServer(settings=settings))
        settings = self._standin('service', service=SERVICE)
        self._add(service_server.ServiceServer(settings=settings))

    async def stop(self) -> None:
        """Stop the hosts and runners that have started."""
        if self._entry is not None:
            await self._entry.stop()
        for runner in self._runners:
            await runner.stop()
        await self._control.stop()
        self._folder.cleanup()

    def _standin(
        self, role: str, **fields: typing.Any
    ) -> standin_settings.StandinSettings:
        return standin_settings.StandinSettings.model_validate(
            {
                'runner_id': f'{role}-1',
                'role': role,
                'zone': ZONE,
                'announce_urls': [self.internal_url],
                **fields,
            }
        )

    def _add(self, runner: '_Runner') -> None:
        runner.start()
        self._runners.append(runner)


class _Runner(typing.Protocol):
    def start(self) -> None: ...

    async def stop(self) -> None: ...
