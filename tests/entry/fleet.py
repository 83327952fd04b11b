"""One entry host and stand-in engines as tasks of one event loop."""

import asyncio
import time
import typing

from limpetroute.border import entry_settings
from limpetroute.border import standin_settings
from limpetroute.entry import server as entry_server
from limpetroute.standins import answer_text
from limpetroute.standins import engine_faults
from limpetroute.standins import engine_server

MODEL = 'review'
KEY = 'key-of-a-club'
PROMPT = 'Check this guarantee\nIt runs until June.'
SETTINGS: dict[str, typing.Any] = {
    'host_id': 'entry-1',
    'zone': 'evere',
    'zones': ['evere'],
    'runner_timeout_s': 1.0,
    'first_token_s': 5.0,
    'token_gap_s': 1.0,
    'prefill_timeout_s': 3.0,
    'transfer_timeout_s': 0.5,
    'token_timeout_s': 0.4,
    'resume_grace_s': 0.15,
    'write_stall_s': 0.5,
    'keep_alive_s': 0.2,
    'body_timeout_s': 0.5,
    'drain_timeout_s': 5.0,
    'max_body_bytes': 65536,
}


def play(
    story: typing.Callable[
        ..., typing.Coroutine[typing.Any, typing.Any, None]
    ],
    *,
    limit_s: float = 30.0,
    **kwargs: typing.Any,
) -> None:
    """Run a scenario against a new fleet."""

    async def whole() -> None:
        async with Fleet(**kwargs) as fleet:
            async with asyncio.timeout(limit_s):
                await story(fleet)

    asyncio.run(whole())


async def until(
    check: typing.Callable[[], bool], *, limit_s: float = 5.0
) -> float:
    """Wait until ``check`` returns true; return the elapsed seconds."""
    start_s = time.monotonic()
    while not check():
        assert time.monotonic() - start_s < limit_s, 'condition stayed false'
        await asyncio.sleep(0.005)
    return time.monotonic() - start_s


def want(count: int, prompt: str = PROMPT) -> str:
    return answer_text.whole_answer(prompt, count)


class Fleet:
    def __init__(
        self,
        *,
        prefills: int = 1,
        decodes: int = 1,
        engine: dict[str, typing.Any] | None = None,
        **settings: typing.Any,
    ) -> None:
        self.entry = entry_server.EntryServer(
            settings=entry_settings.EntrySettings.model_validate(
                {**SETTINGS, **settings}
            )
        )
        self._roles = ['prefill'] * prefills + ['decode'] * decodes
        self._engine = engine or {}
        self.engines: list[engine_server.EngineServer] = []

    @property
    def host(self):
        return self.entry.host

    @property
    def port(self) -> int:
        return self.entry.port

    @property
    def prefills(self) -> list[engine_server.EngineServer]:
        return [e for e in self.engines if e.settings.role == 'prefill']

    @property
    def decodes(self) -> list[engine_server.EngineServer]:
        return [e for e in self.engines if e.settings.role == 'decode']

    async def __aenter__(self) -> 'Fleet':
        self.entry.start()
        for number, role in enumerate(self._roles):
            self.add(f'{role}-{number}', role)
        await until(lambda: len(self.host.runners) == len(self._roles))
        return self

    def add(
        self, runner_id: str, role: str, **more: typing.Any
    ) -> engine_server.EngineServer:
        engine = engine_server.EngineServer(
            settings=standin_settings.StandinSettings.model_validate(
                {
                    'runner_id': runner_id,
                    'role': role,
                    'zone': 'evere',
                    'announce_urls': [
                        f'http://127.0.0.1:{self.entry.internal_port}'
                    ],
                    'models': [MODEL],
                    'heartbeat_s': 0.1,
                    'step_s': 0.005,
                    **self._engine,
                    **more,
                }
            )
        )
        engine.start()
        self.engines.append(engine)
        return engine

    async def __aexit__(self, *exc: object) -> None:
        self.host.settings = self.host.settings.model_copy(
            update={'drain_timeout_s': 0.01}
        )
        await self.entry.stop()
        for engine in self.engines:
            await engine.stop()

    def fault(self, engine: engine_server.EngineServer, **faults) -> None:
        engine.state.faults = engine_faults.EngineFaults(**faults)

    def kv_used_bytes(self) -> int:
        return sum(engine.state.kv_used_bytes for engine in self.engines)

    def count(self, name: str) -> int:
        return sum(engine.state.counts[name] for engine in self.engines)

    def starts(self) -> dict[str, int]:
        """Return the number of starts per engine role and run id."""
        found: dict[str, int] = {}
        for engine in self.engines:
            for run_id, count in engine.state.run_starts.items():
                place = f'{engine.settings.role}/{run_id}'
                found[place] = found.get(place, 0) + count
        return found

    def only_record(self):
        (live,) = list(self.host.records)
        return live
