import asyncio
import signal

from limpetroute.decisions import stage
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller
from tests.whole_path import processes


def test_shutdown_cuts_off_nobody() -> None:
    # The host is stopped while callers read streams and a caller waits
    # for a whole answer. Each gets its complete answer. A new request
    # gets `not_run` with Retry-After.
    async def story(fleet: fleet_module.Fleet) -> None:
        callers = [
            await raw_caller.ask(fleet, max_tokens=100) for _ in range(3)
        ]
        for caller in callers:
            await caller.read_events(2)
        whole = await raw_caller.ask(fleet, stream=False, max_tokens=50)
        await fleet_module.until(lambda: fleet.host.in_progress == 4)
        stopping = asyncio.create_task(fleet.entry.stop())
        await fleet_module.until(lambda: not fleet.host.ready)
        status, _, _ = await raw_caller.fetch(fleet, 'GET', '/readyz')
        assert status == 503
        status, _, _ = await raw_caller.fetch(fleet, 'GET', '/healthz')
        assert status == 200
        late = await raw_caller.ask(fleet)
        assert await late.read_head() == 503
        assert late.headers['limpetroute-outcome'] == 'not_run'
        assert int(late.headers['retry-after']) >= 1
        for caller in callers:
            events = await caller.read_events()
            assert events[-1][1] == '[DONE]'
            assert raw_caller.text_of(events) == fleet_module.want(100)
        assert fleet_module.want(50).encode() in await whole.read_body()
        await stopping
        assert fleet.kv_used_bytes() == 0

    fleet_module.play(story)


def test_resume_while_draining() -> None:
    # A caller's connection breaks while the host drains. The caller
    # resumes within the grace period and gets the rest of the answer
    # from the same host.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, max_tokens=200)
        events = await caller.read_events(3)
        stopping = asyncio.create_task(fleet.entry.stop())
        caller.rst()
        again = await raw_caller.ask(
            fleet, max_tokens=200, headers={'Last-Event-ID': events[-1][0]}
        )
        rest = await again.read_events()
        assert raw_caller.ids_of(rest) == list(range(3, 200))
        await stopping

    fleet_module.play(story, resume_grace_s=1.0)


def test_drain_time_lapses() -> None:
    # An answer takes longer than the drain timeout. Its stream ends with
    # an error event that tells the caller to resume on another host, the
    # runner is freed, and the host stops.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, max_tokens=4000)
        await caller.read_events(2)
        start_s = asyncio.get_running_loop().time()
        stopping = asyncio.create_task(fleet.entry.stop())
        events = await caller.read_events()
        error = events[-1][1]['error']
        assert error['code'] == 'draining_resume_elsewhere'
        await stopping
        assert asyncio.get_running_loop().time() - start_s < 3.0
        assert fleet.kv_used_bytes() == 0

    fleet_module.play(story, drain_timeout_s=0.4)


def test_leaving_runner_gets_no_new_work() -> None:
    # A decode runner announces that it leaves. Its runs finish there, and
    # no new run is sent to it after the announcement.
    async def story(fleet: fleet_module.Fleet) -> None:
        first = await raw_caller.ask(fleet, max_tokens=100)
        await first.read_events(2)
        leaving = next(e for e in fleet.decodes if e.state.active)
        await leaving.leave()
        before = sum(leaving.state.run_starts.values())
        for _ in range(6):
            caller = await raw_caller.ask(fleet)
            assert (await caller.read_events())[-1][1] == '[DONE]'
        assert sum(leaving.state.run_starts.values()) == before
        assert (await first.read_events())[-1][1] == '[DONE]'

    fleet_module.play(story, decodes=2)


def test_runner_goes_silent_in_prefill() -> None:
    # A prefill runner hangs with the connection open. The call's time
    # limit ends the wait, and another runner prefills the prompt.
    async def story(fleet: fleet_module.Fleet) -> None:
        for engine in fleet.prefills[:2]:
            fleet.fault(engine, mute_prefill=True)
        caller = await raw_caller.ask(fleet)
        events = await caller.read_events()
        assert events[-1][1] == '[DONE]'

    fleet_module.play(story, prefills=3, prefill_timeout_s=0.3)


def test_queued_callers_are_told_when_the_drain_lapses() -> None:
    # A request that is still queued when the drain timeout expires was
    # not run. Its caller gets `not_run` and can send it again.
    async def story(fleet: fleet_module.Fleet) -> None:
        first = await raw_caller.ask(fleet, max_tokens=4000)
        await first.read_events(1)
        second = await raw_caller.ask(fleet, stream=False)
        await fleet_module.until(lambda: fleet.host.in_progress == 2)
        queued = [
            live
            for live in fleet.host.records
            if live.stage is stage.Stage.QUEUED
        ]
        assert len(queued) == 1
        stopping = asyncio.create_task(fleet.entry.stop())
        assert await second.read_head() == 503
        assert second.headers['limpetroute-outcome'] == 'not_run'
        assert 'retry-after' in second.headers
        await stopping

    fleet_module.play(
        story, drain_timeout_s=0.4, first_token_s=30.0, engine={'slots': 1}
    )


def test_process_exits_with_zero_after_its_streams(tmp_path) -> None:
    # The process receives SIGTERM in the middle of an answer. The caller
    # gets the complete answer, and the process exits with 0.
    entry = processes.Process(
        'entry',
        {'host_id': 'e1', 'zone': 'evere', 'zones': ['evere']},
        tmp_path,
        'entry',
    )
    port, internal = entry.wait_ready()
    started = [entry]
    for role in ('prefill', 'decode'):
        runner = processes.Process(
            'standin',
            {
                'runner_id': role,
                'role': role,
                'zone': 'evere',
                'models': ['review'],
                'announce_urls': [f'http://127.0.0.1:{internal}'],
            },
            tmp_path,
            role,
        )
        started.append(runner)
        runner.wait_ready()

    async def story() -> list:
        caller = raw_caller.RawCaller(port)
        body = {'model': 'review', 'prompt': 'x', 'max_tokens': 100}
        await caller.send('POST', '/v1/completions', {**body, 'stream': True})
        events = await caller.read_events(3)
        entry.send_signal(signal.SIGTERM)
        events = await caller.read_events()
        return events

    try:
        events = asyncio.run(story())
    finally:
        # The entry process got SIGTERM above; stop(0) sends no second one.
        codes = [entry.stop(0)]
        codes += [process.stop() for process in started[1:]]
    assert events[-1][1] == '[DONE]'
    assert len(events) == 102
    assert codes == [0, 0, 0]
