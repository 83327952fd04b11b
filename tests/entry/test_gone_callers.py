import asyncio

import pytest

from limpetroute.decisions import stage
from limpetroute.entry.callers import completions_handler
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller

LIMIT_S = 2.0
TRANSFER_S = 0.6
WAYS = ('fin', 'rst')
LONG = {'max_tokens': 4000}


async def _all_free(fleet: fleet_module.Fleet) -> None:
    await fleet_module.until(
        lambda: (
            fleet.host.in_progress == 0
            and fleet.host.freer.pending == 0
            and fleet.kv_used_bytes() == 0
        ),
        limit_s=LIMIT_S,
    )
    assert all(not engine.state.active for engine in fleet.engines)


async def _at(fleet: fleet_module.Fleet, where: stage.Stage) -> None:
    await fleet_module.until(
        lambda: any(live.stage is where for live in fleet.host.records)
    )


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('streamed', [True, False])
def test_caller_goes_in_decode(way: str, streamed: bool) -> None:
    # A caller disconnects during decode. Without a cancel the run would
    # hold its slot and KV memory to the last token. The run is cancelled
    # on the runner after the grace period.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, stream=streamed, **LONG)
        await _at(fleet, stage.Stage.DECODE)
        await fleet_module.until(lambda: fleet.count('words') > 3)
        assert fleet.kv_used_bytes() > 0
        getattr(caller, way)()
        await _all_free(fleet)
        assert fleet.count('runs_cancelled') == 1

    fleet_module.play(story)


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('streamed', [True, False])
def test_caller_goes_in_transfer(way: str, streamed: bool) -> None:
    # The caller disconnects during the KV cache transfer. The cancel
    # reaches the decode runner before the transfer ends. A runner that
    # did not record the cancel would import the cache and never free it.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], slow_factor=300.0)
        caller = await raw_caller.ask(fleet, stream=streamed)
        await _at(fleet, stage.Stage.TRANSFER)
        getattr(caller, way)()
        await _all_free(fleet)
        await asyncio.sleep(TRANSFER_S)
        assert fleet.kv_used_bytes() == 0

    fleet_module.play(
        story, transfer_timeout_s=5.0, engine={'link_bytes_per_s': 1e9}
    )


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('streamed', [True, False])
def test_caller_goes_in_prefill(way: str, streamed: bool) -> None:
    # The caller disconnects during prefill. The prefill result must be
    # dropped when it is ready, and not held until it expires.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.prefills[0], slow_factor=200.0)
        caller = await raw_caller.ask(fleet, stream=streamed)
        await _at(fleet, stage.Stage.PREFILL)
        getattr(caller, way)()
        await _all_free(fleet)
        await fleet_module.until(lambda: fleet.prefills[0].state.waiting == 0)
        assert fleet.kv_used_bytes() == 0
        assert fleet.count('results_expired') == 0

    fleet_module.play(
        story, engine={'result_ttl_s': 60.0, 'prefill_tokens_per_s': 5000.0}
    )


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('streamed', [True, False])
def test_caller_goes_while_queued(way: str, streamed: bool) -> None:
    # The only decode slot is in use, and the queued second caller
    # disconnects. Its request must not start when the slot is free.
    async def story(fleet: fleet_module.Fleet) -> None:
        first = await raw_caller.ask(fleet, max_tokens=100)
        await first.read_events(1)
        second = await raw_caller.ask(fleet, stream=streamed)
        await fleet_module.until(lambda: fleet.host.in_progress == 2)
        getattr(second, way)()
        await fleet_module.until(lambda: fleet.host.in_progress == 1)
        await first.read_events()
        await _all_free(fleet)
        assert fleet.count('prefills') == 1

    fleet_module.play(story, engine={'slots': 1})


def test_silent_caller() -> None:
    # A caller stops reading without FIN or RST, as on a dead link. Writes
    # to it stall. After the stall limit the run is cancelled and its KV
    # memory freed.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = raw_caller.RawCaller(fleet.port, receive_bytes=4096)
        await caller.send(
            'POST',
            '/v1/completions',
            {
                'model': fleet_module.MODEL,
                'prompt': fleet_module.PROMPT,
                'max_tokens': 60000,
                'stream': True,
            },
        )
        await _at(fleet, stage.Stage.DECODE)
        await fleet_module.until(
            lambda: fleet.host.in_progress == 0, limit_s=20
        )
        assert fleet.only_record().record.end.kind == 'cancelled'
        await _all_free(fleet)
        caller.fin()

    fleet_module.play(story, max_buffer_bytes=4096, engine={'step_s': 0.0001})


def test_first_cancel_fails() -> None:
    # The caller disconnects, and the cancel calls to the runner fail.
    # Without a retry the run would hold its slot until the last token.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, **LONG)
        await caller.read_events(2)
        fleet.fault(fleet.decodes[0], fail_cancels=3)
        caller.fin()
        await _all_free(fleet)
        assert fleet.count('runs_cancelled') == 1

    fleet_module.play(story)


def test_cancel_survives_the_shutdown() -> None:
    # The caller disconnects just before the host stops, and the first
    # cancel calls fail. The host must not exit while the run holds memory
    # on the runner.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, **LONG)
        await caller.read_events(2)
        fleet.fault(fleet.decodes[0], fail_cancels=3)
        caller.fin()
        await fleet.entry.stop()
        assert fleet.kv_used_bytes() == 0
        assert fleet.count('runs_cancelled') == 1

    fleet_module.play(story)


def test_two_hundred_callers_go() -> None:
    # Two hundred callers in all stages disconnect at about the same time,
    # by FIN and by RST. Two seconds after the last of them no runner holds
    # memory for any of them.
    async def story(fleet: fleet_module.Fleet) -> None:
        callers = [
            await raw_caller.ask(
                fleet, prompt=f'Dossier {number}\n' + 'x' * 2000, **LONG
            )
            for number in range(200)
        ]
        await fleet_module.until(lambda: fleet.count('words') > 200)
        stages = {live.stage for live in fleet.host.records}
        assert stage.Stage.QUEUED in stages
        assert stage.Stage.DECODE in stages
        for number, caller in enumerate(callers):
            getattr(caller, WAYS[number % 2])()
        await _all_free(fleet)

    fleet_module.play(story, prefills=2, decodes=3, first_token_s=30.0)


def test_nobody_can_come_back_for_it() -> None:
    # A caller without a key disconnects before it received the request
    # id. It cannot resume the request, so there is no grace period. A
    # caller with a key has the grace period.
    async def story(fleet: fleet_module.Fleet) -> None:
        key = {'Idempotency-Key': 'k'}
        without_key = await raw_caller.ask(fleet, stream=False, **LONG)
        with_key = await raw_caller.ask(
            fleet, stream=False, headers=key, **LONG
        )
        await fleet_module.until(lambda: fleet.count('words') > 3)
        without_key.fin()
        with_key.fin()
        await fleet_module.until(lambda: fleet.host.in_progress == 1)
        await asyncio.sleep(TRANSFER_S)
        assert fleet.host.in_progress == 1
        assert fleet.host.records.by_key('default', 'k').record.end is None

    fleet_module.play(story, resume_grace_s=60.0)


@pytest.mark.parametrize('known', [False, True])
def test_caller_goes_while_its_key_is_looked_up(
    known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The caller disconnects while its key is looked up on the other
    # hosts, before a run or an attachment exists. No run may be started
    # or attached to afterwards, because no later event would end it.
    async def slow_relay(*args: object, **kwargs: object) -> bool:
        await asyncio.sleep(0.1)
        return False

    async def story(fleet: fleet_module.Fleet) -> None:
        key = {'Idempotency-Key': 'k'}
        if known:
            first = await raw_caller.ask(fleet, headers=key, **LONG)
            await first.read_events(1)
        monkeypatch.setattr(
            completions_handler.CompletionsHandler, 'relay', slow_relay
        )
        again = await raw_caller.ask(fleet, headers=key, **LONG)
        await fleet_module.until(
            lambda: len(fleet.host.exchanges) == 1 + known
        )
        again.fin()
        if known:
            first.fin()
        await asyncio.sleep(0.3)
        await _all_free(fleet)
        assert fleet.count('prefills') == int(known)

    fleet_module.play(story)
