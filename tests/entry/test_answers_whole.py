import asyncio
import random

import pytest

from limpetroute.entry.records import live_record
from limpetroute.entry.runs import run_request
from limpetroute.peers import request_record
from limpetroute.standins import answer_text
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller
from tests.entry import silent_proxy

COUNT = 12
# Time between the starts of two callers. Without it, sixty callers start
# at once, are refused together a second later, and are replaced by sixty
# others at once. The faults change six times meanwhile, and only the
# last change affects the new callers. Where most of these last changes
# made all prefill runners refuse, only 8 of 500 requests completed.
CALLER_INTERVAL_S = 0.01


def _assert_complete(events: list, count: int = COUNT) -> None:
    assert events[-1][1] == '[DONE]', events[-1]
    assert raw_caller.text_of(events) == fleet_module.want(count)
    assert raw_caller.ids_of(events) == list(range(count))
    assert len({name.rsplit('-', 1)[0] for name, _ in events if name}) == 1


def test_events_late_doubled_and_out_of_order() -> None:
    # The engine's tokens arrive in reverse order and twice each. The
    # caller must receive each token once and in order.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], disorder=True)
        caller = await raw_caller.ask(fleet)
        _assert_complete(await caller.read_events())
        assert sum(fleet.starts().values()) == 2

    fleet_module.play(story)


def test_broken_stream_resumes_the_same_run() -> None:
    # The connection to the decode runner breaks after every three
    # tokens. The runner continues the run, so the host must resume that
    # run. A second run would sample other tokens.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], break_stream_after=3)
        caller = await raw_caller.ask(fleet)
        _assert_complete(await caller.read_events())
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story)


def test_decode_fails_and_goes_on_elsewhere() -> None:
    # The decode runner's engine fails after the caller has received four
    # tokens. Another runner continues from the prompt and these tokens
    # under a new run id. The event ids keep their run name and their
    # numbering.
    async def story(fleet: fleet_module.Fleet) -> None:
        for engine in fleet.decodes:
            fleet.fault(engine, fail_decode_after=4)
        caller = await raw_caller.ask(fleet)
        events = await caller.read_events()
        _assert_complete(events)
        run_name = events[0][0].rsplit('-', 1)[0]
        ids = {name for e in fleet.decodes for name in e.state.run_starts}
        assert ids == {f'{run_name}.{number}' for number in (1, 2, 3)}
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0)

    fleet_module.play(story, prefills=3, decodes=3)


def test_resume_across_a_continuation() -> None:
    # The caller's connection breaks after a second runner has continued
    # the answer. The last event id must still resume the answer at the
    # right event.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], fail_decode_after=4)
        fleet.fault(fleet.decodes[1], fail_decode_after=4)
        caller = await raw_caller.ask(fleet)
        events = await caller.read_events(6)
        caller.fin()
        again = await raw_caller.ask(
            fleet, headers={'Last-Event-ID': events[-1][0]}
        )
        rest = await again.read_events()
        assert raw_caller.ids_of(rest) == list(range(6, COUNT))
        text = raw_caller.text_of(events) + raw_caller.text_of(rest)
        assert text == fleet_module.want(COUNT)

    fleet_module.play(story, prefills=3, decodes=3)


def test_decode_runner_dies() -> None:
    # The decode runner's process stops in the middle of an answer.
    # Another runner continues the answer, and the caller receives it
    # without a gap or a repeated token.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, max_tokens=100)
        await caller.read_events(5)
        holder = next(e for e in fleet.decodes if e.state.active)
        await holder.stop()
        _assert_complete(await caller.read_events(), 100)

    fleet_module.play(story, prefills=2, decodes=2)


def test_no_runner_left_gives_a_tagged_end() -> None:
    # The only decode runner stops after the caller has received some
    # tokens. The stream must end with an error event, and never with
    # the [DONE] event of a complete answer.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, max_tokens=100)
        await caller.read_events(5)
        await fleet.decodes[0].stop()
        events = await caller.read_events()
        error = events[-1][1]['error']
        assert error['limpetroute_outcome'] == 'unknown'
        assert error['retry_after_s'] > 0
        assert all(event != '[DONE]' for _, event in events)

    fleet_module.play(story, prefills=2, first_token_s=1.5)


def test_silent_connection_to_the_decode_runner() -> None:
    # A device between the host and the runner drops the connection's
    # state: both ends stay open and no data arrives. The token timeout
    # must detect this, and the run is resumed on a new connection.
    async def story(fleet: fleet_module.Fleet) -> None:
        proxy = silent_proxy.SilentProxy(fleet.decodes[0].port)
        await proxy.start()
        body = fleet.host.runners.get('decode-1')
        fleet.decodes[0].announced_url = f'http://127.0.0.1:{proxy.port}'
        await fleet_module.until(
            lambda: fleet.host.runners.get('decode-1').url != body.url
        )
        caller = await raw_caller.ask(fleet, max_tokens=100)
        await caller.read_events(5)
        proxy.silence()
        _assert_complete(await caller.read_events(), 100)
        assert proxy.connections >= 3
        assert sorted(fleet.starts().values()) == [1, 1]
        await proxy.stop()

    fleet_module.play(story)


def test_prefill_runner_fails() -> None:
    # A prefill runner closes the connection during a prefill. Another
    # runner prefills the prompt under another run id, and the first one
    # must free its memory.
    async def story(fleet: fleet_module.Fleet) -> None:
        for engine in fleet.prefills[:2]:
            fleet.fault(engine, fail_prefill=1)
        caller = await raw_caller.ask(fleet)
        _assert_complete(await caller.read_events())
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0)

    fleet_module.play(story, prefills=3)


def test_stalled_transfer_frees_the_prefill_result() -> None:
    # The transfer to one decode runner stalls. The host abandons the
    # transfer and prefills the prompt again for another decode runner.
    # Neither the stalled import nor the first prefill's result may keep
    # memory in use.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], stall_transfer=True)
        callers = [await raw_caller.ask(fleet) for _ in range(2)]
        for caller in callers:
            _assert_complete(await caller.read_events())
        assert fleet.count('runs_cancelled') == 0
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0, limit_s=2)
        assert fleet.count('results_expired') == 0

    fleet_module.play(
        story, prefills=2, decodes=2, engine={'result_ttl_s': 60.0}
    )


def test_the_last_word_came_and_the_end_was_lost() -> None:
    # The stream breaks after the last token and before the end event.
    # All tokens have arrived, so no second run may be started.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], break_stream_after=COUNT)
        caller = await raw_caller.ask(fleet)
        await fleet_module.until(lambda: fleet.count('words') == COUNT)
        _assert_complete(await caller.read_events())
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story)


def _set_random_faults(rng: random.Random, fleet: fleet_module.Fleet) -> None:
    """Set random faults; in a fifth of the calls all prefills refuse."""
    prefills_refuse = rng.random() < 0.2
    for engine in fleet.engines:
        fleet.fault(engine)
        if prefills_refuse and engine.settings.role == 'prefill':
            fleet.fault(engine, refuse=True)
            continue
        if rng.random() < 0.4:
            continue
        if engine.settings.role == 'prefill':
            fleet.fault(
                engine,
                fail_prefill=rng.randrange(4),
                drop_prefill_reply=rng.randrange(4),
                refuse=rng.random() < 0.3,
            )
            continue
        fleet.fault(
            engine,
            refuse=rng.random() < 0.3,
            fail_decode_after=rng.choice([None, 0, 3]),
            break_stream_after=rng.choice([None, 1, 5]),
            fail_cancels=rng.randrange(3),
            disorder=rng.random() < 0.2,
        )


def runs_without_record(fleet: fleet_module.Fleet) -> list[str]:
    """Return the run ids at runners that belong to no record."""
    known = [live.record.run_id for live in fleet.host.records]
    return [
        name
        for engine in fleet.engines
        for name in engine.state.run_starts
        if not any(name.startswith(run_id) for run_id in known)
    ]


@pytest.mark.parametrize('seed', [3, 11])
def test_not_run_is_true_under_random_failures(seed: int) -> None:
    # Runners refuse, close connections and fail at random. A caller
    # repeats a request whose outcome is `not_run`, so a run of that
    # request would do the work twice. With the outcome `completed` the
    # caller must have received every token once.
    rng = random.Random(seed)
    outcome_counts: dict[str, int] = {}

    async def one(fleet: fleet_module.Fleet, number: int) -> None:
        prompt = f'Dossier {seed}-{number}\nShort.'
        streamed = bool(number % 2)
        caller = await raw_caller.ask(
            fleet,
            stream=streamed,
            prompt=prompt,
            max_tokens=6,
            headers={'Idempotency-Key': f'key-{number}'},
        )
        await caller.read_head()
        outcome = caller.headers['limpetroute-outcome']
        live = fleet.host.records.by_key('default', f'key-{number}')
        if live is None:
            # The request was refused before it had a record, for example
            # because the event loop was blocked for longer than the body
            # timeout. A request without a record must not run.
            assert outcome == 'not_run'
            assert not runs_without_record(fleet)
            caller.fin()
            outcome_counts[outcome] = outcome_counts.get(outcome, 0) + 1
            return
        run_name = live.record.run_id
        if outcome == 'pending':
            events = await caller.read_events()
            last = events[-1][1]
            outcome = 'completed'
            if last != '[DONE]':
                outcome = last['error']['limpetroute_outcome']
            text = raw_caller.text_of(events)
            expected = answer_text.whole_answer(prompt, 6)
            assert expected.startswith(text)
            assert outcome != 'completed' or text == expected
        caller.fin()
        outcome_counts[outcome] = outcome_counts.get(outcome, 0) + 1
        if outcome != 'not_run':
            return
        started = [
            name
            for engine in fleet.engines
            for name in engine.state.run_starts
            if name.startswith(run_name)
        ]
        assert not started, f'{run_name} ran, but its outcome was not_run'

    async def story(fleet: fleet_module.Fleet) -> None:
        waiting: set[asyncio.Task[None]] = set()
        for number in range(500):
            if number % 10 == 0:
                _set_random_faults(rng, fleet)
            await asyncio.sleep(CALLER_INTERVAL_S)
            waiting.add(asyncio.create_task(one(fleet, number)))
            if len(waiting) >= 60:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        await asyncio.gather(*waiting)
        assert outcome_counts.get('not_run', 0) > 10, outcome_counts
        assert outcome_counts.get('completed', 0) > 10, outcome_counts
        for engine in fleet.engines:
            fleet.fault(engine)
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0)

    fleet_module.play(
        story,
        limit_s=60,
        prefills=3,
        decodes=3,
        first_token_s=1.0,
        engine={'step_s': 0.001},
    )


def test_taken_over_request_is_never_not_run() -> None:
    # A host is lost after it has sent a request to a runner. The host
    # that takes the request over sends nothing, because all runners
    # refuse. The request may still have run at the first host's runner.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.prefills[0], refuse=True)
        caller = await raw_caller.ask(fleet, stream=False)
        assert await caller.read_head() == 503
        request = run_request.RunRequest(
            request_id='req-1',
            team='default',
            key='key',
            body_digest='',
            model=fleet_module.MODEL,
            prompt='x',
            max_tokens=3,
        )
        live = fleet.host.submit(request)
        await live.wait_ended()
        assert live.record.end.kind == 'not_run'
        taken = live_record.LiveRecord(record=_record(), shape=live.shape)
        await fleet.host._run_task(request, taken, 1).run()
        assert taken.record.end.kind == 'unknown'

    fleet_module.play(story, first_token_s=0.3)


def test_handed_over_request_is_never_not_run() -> None:
    # A stopping host hands a queued request over to another host, which
    # may run it. The outcome sent to the caller must not be `not_run`.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.host.hands_over = True
        first = await raw_caller.ask(fleet, max_tokens=4000)
        await first.read_events(1)
        second = await raw_caller.ask(fleet, stream=False)
        await fleet_module.until(lambda: fleet.host.in_progress == 2)
        stopping = asyncio.create_task(fleet.entry.stop())
        await second.read_head()
        assert second.headers['limpetroute-outcome'] == 'unknown'
        await stopping

    fleet_module.play(
        story, drain_timeout_s=0.3, first_token_s=30.0, engine={'slots': 1}
    )


def _record() -> request_record.RequestRecord:
    return request_record.RequestRecord(
        request_id='req-2',
        team='default',
        key='key',
        body_digest='',
        run_id='run-' + 32 * '0',
    )


def test_a_prefill_runner_that_loses_its_results_fails_no_request() -> None:
    """Requests end as failed while another prefill runner is fine."""

    async def story(fleet: fleet_module.Fleet) -> None:
        state = fleet.prefills[0].state
        prefill = state.prefill

        async def prefill_and_lose(run_id: str, prompt: str):
            done = await prefill(run_id, prompt)
            state.held.clear()
            return done

        state.prefill = prefill_and_lose
        callers = [
            await raw_caller.ask(
                fleet, prompt=f'Wording {number}\nIt is long.'
            )
            for number in range(12)
        ]
        for caller in callers:
            events = await caller.read_events()
            assert events[-1][1] == '[DONE]'
        assert fleet.count('prefills') > len(callers)

    fleet_module.play(story, prefills=2, decodes=2)
