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
# Time between two callers. Sent as fast as earlier ones end, sixty start
# at one instant and, refused together after a second, are replaced at
# one instant: of six changes of faults that pass meanwhile only the last
# counts. Where prefills were closed in most of these, 8 of 500 were
# completed.
PACE_S = 0.01


def _assert_whole(events: list, count: int = COUNT) -> None:
    assert events[-1][1] == '[DONE]', events[-1]
    assert raw_caller.text_of(events) == fleet_module.want(count)
    assert raw_caller.ids_of(events) == list(range(count))
    assert len({name.rsplit('-', 1)[0] for name, _ in events if name}) == 1


def test_events_late_doubled_and_out_of_order() -> None:
    # The engine's words arrive backwards and each twice. The clerk must
    # see every word once and in order.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], disorder=True)
        caller = await raw_caller.ask(fleet)
        _assert_whole(await caller.read_events())
        assert sum(fleet.starts().values()) == 2

    fleet_module.play(story)


def test_broken_stream_resumes_the_same_run() -> None:
    # The connection to the decode runner breaks every three words. The
    # run goes on there, so the rest of the same run is fetched: no
    # second run, which would sample other words.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], break_stream_after=3)
        caller = await raw_caller.ask(fleet)
        _assert_whole(await caller.read_events())
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story)


def test_decode_fails_and_goes_on_elsewhere() -> None:
    # The decode runner's engine fails after four words that the clerk
    # has read. Another runner goes on from prompt and words, under a
    # run id of its own; the events keep counting and their name.
    async def story(fleet: fleet_module.Fleet) -> None:
        for engine in fleet.decodes:
            fleet.fault(engine, fail_decode_after=4)
        caller = await raw_caller.ask(fleet)
        events = await caller.read_events()
        _assert_whole(events)
        run_name = events[0][0].rsplit('-', 1)[0]
        ids = {name for e in fleet.decodes for name in e.state.run_starts}
        assert ids == {f'{run_name}.{number}' for number in (1, 2, 3)}
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0)

    fleet_module.play(story, prefills=3, decodes=3)


def test_resume_across_a_continuation() -> None:
    # The clerk's connection breaks after the answer moved to a second
    # runner. The event id it holds still names its place.
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
        whole = raw_caller.text_of(events) + raw_caller.text_of(rest)
        assert whole == fleet_module.want(COUNT)

    fleet_module.play(story, prefills=3, decodes=3)


def test_decode_runner_dies() -> None:
    # The decode runner's process dies in the middle of the answer. The
    # answer goes on at another runner and the clerk sees no seam.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, max_tokens=100)
        await caller.read_events(5)
        holder = next(e for e in fleet.decodes if e.state.active)
        await holder.stop()
        _assert_whole(await caller.read_events(), 100)

    fleet_module.play(story, prefills=2, decodes=2)


def test_no_runner_left_gives_a_tagged_end() -> None:
    # The only decode runner dies after the clerk has read some words.
    # The stream must end with an error that says so, never with the
    # mark of a whole answer.
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
    # Something between host and runner forgets the connection: both
    # ends stay open and nothing arrives. The silence is noticed within
    # the token limit, and the run is resumed on a new connection.
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
        _assert_whole(await caller.read_events(), 100)
        assert proxy.connections >= 3
        assert sorted(fleet.starts().values()) == [1, 1]
        await proxy.stop()

    fleet_module.play(story)


def test_prefill_runner_fails() -> None:
    # A prefill runner drops the connection in the middle. Another one
    # reads the prompt, under another run id, and the first holds
    # nothing afterwards.
    async def story(fleet: fleet_module.Fleet) -> None:
        for engine in fleet.prefills[:2]:
            fleet.fault(engine, fail_prefill=1)
        caller = await raw_caller.ask(fleet)
        _assert_whole(await caller.read_events())
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0)

    fleet_module.play(story, prefills=3)


def test_stalled_transfer_frees_the_prefill_result() -> None:
    # The transfer to one decode runner stalls. It is abandoned, the
    # prompt is read again for another one, and neither the stalled
    # import nor the first result holds memory.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], stall_transfer=True)
        callers = [await raw_caller.ask(fleet) for _ in range(2)]
        for caller in callers:
            _assert_whole(await caller.read_events())
        assert fleet.count('runs_cancelled') == 0
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0, limit_s=2)
        assert fleet.count('results_expired') == 0

    fleet_module.play(
        story, prefills=2, decodes=2, engine={'result_ttl_s': 60.0}
    )


def test_the_last_word_came_and_the_end_was_lost() -> None:
    # The engine fails after the last word and before its end. All words
    # are there, so no second run is started for none.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], break_stream_after=COUNT)
        caller = await raw_caller.ask(fleet)
        await fleet_module.until(lambda: fleet.count('words') == COUNT)
        _assert_whole(await caller.read_events())
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story)


def _shake(rng: random.Random, fleet: fleet_module.Fleet) -> None:
    """Give each engine new faults; now and then all prefills refuse."""
    closed = rng.random() < 0.2
    for engine in fleet.engines:
        fleet.fault(engine)
        if closed and engine.settings.role == 'prefill':
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
    """Return the runs at runners that belong to no record."""
    known = [live.record.run_id for live in fleet.host.records]
    return [
        name
        for engine in fleet.engines
        for name in engine.state.run_starts
        if not any(name.startswith(run_id) for run_id in known)
    ]


@pytest.mark.parametrize('seed', [3, 11])
def test_not_run_is_true_under_random_failures(seed: int) -> None:
    # Runners refuse, drop connections and fail at random. A caller who
    # is told `not_run` will send the request again: if it had run, the
    # work would be done twice. A caller who is told `completed` must
    # hold every word once.
    rng = random.Random(seed)
    told: dict[str, int] = {}

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
            # Refused before there was a record, as where the loop stood
            # still for longer than a body may take: nothing may run that
            # has none.
            assert outcome == 'not_run'
            assert not runs_without_record(fleet)
            caller.fin()
            told[outcome] = told.get(outcome, 0) + 1
            return
        run_name = live.record.run_id
        if outcome == 'pending':
            events = await caller.read_events()
            last = events[-1][1]
            outcome = 'completed'
            if last != '[DONE]':
                outcome = last['error']['limpetroute_outcome']
            text = raw_caller.text_of(events)
            want = answer_text.whole_answer(prompt, 6)
            assert want.startswith(text)
            assert outcome != 'completed' or text == want
        caller.fin()
        told[outcome] = told.get(outcome, 0) + 1
        if outcome != 'not_run':
            return
        ran = [
            name
            for engine in fleet.engines
            for name in engine.state.run_starts
            if name.startswith(run_name)
        ]
        assert not ran, f'{run_name} was told not_run'

    async def story(fleet: fleet_module.Fleet) -> None:
        waiting: set[asyncio.Task[None]] = set()
        for number in range(500):
            if number % 10 == 0:
                _shake(rng, fleet)
            await asyncio.sleep(PACE_S)
            waiting.add(asyncio.create_task(one(fleet, number)))
            if len(waiting) >= 60:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        await asyncio.gather(*waiting)
        assert told.get('not_run', 0) > 10, told
        assert told.get('completed', 0) > 10, told
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
    # A host is lost after it has sent a request to a runner. The one
    # that takes it over finds that all runners refuse. It has sent
    # nothing itself, yet the request may have run.
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
    # A host that stops hands a queued request to another one, which
    # runs it. Its caller must not be told that it was not run.
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
