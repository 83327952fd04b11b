"""Control, entry and stand-in runners as tasks of one process."""

import tempfile

from limpetroute.border import control_settings
from limpetroute.border import entry_settings
from limpetroute.border import listen_settings
from limpetroute.border import standin_settings
from limpetroute.control import server as control_server
from limpetroute.entry import server as entry_server
from limpetroute.standins import engine_server

ZONE = 'demo'
MODEL = 'review'


class DemoFleet:
    """The smallest whole fleet.

    Parameters
    ----------
    port : int
        Port for callers.
    """

    def __init__(self, *, port: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix='limpetroute-')
        self._control = control_server.ControlServer(
            settings=control_settings.ControlSettings.model_validate(
                {
                    'host_id': 'control-1',
                    'zone': ZONE,
                    'data_dir': self._folder.name,
                }
            )
        )
        self._entry = entry_server.EntryServer(
            settings=entry_settings.EntrySettings(
                host_id='entry-1',
                zone=ZONE,
                zones=[ZONE],
                listen=listen_settings.ListenSettings(port=port),
            )
        )
        self._engines: list[engine_server.EngineServer] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(port={self.port!r})'

    @property
    def port(self) -> int:
        """Port for callers."""
        return self._entry.port

    def start(self) -> None:
        """Start every part."""
        self._control.start()
        self._entry.start()
        internal = f'http://127.0.0.1:{self._entry.internal_port}'
        for role in ('prefill', 'decode'):
            engine = engine_server.EngineServer(
                settings=standin_settings.StandinSettings.model_validate(
                    {
                        'runner_id': f'{role}-1',
                        'role': role,
                        'zone': ZONE,
                        'announce_urls': [internal],
                        'models': [MODEL],
                    }
                )
            )
            engine.start()
            self._engines.append(engine)

    async def stop(self) -> None:
        """Stop every part."""
        await self._entry.stop()
        for engine in self._engines:
            await engine.stop()
        await self._control.stop()
        self._folder.cleanup()
