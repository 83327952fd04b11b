import asyncio
import hashlib

from limpetroute.border import manifest as manifest_module
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller

KEY = {'Idempotency-Key': 'verdict-7'}


def test_resume_gets_exactly_the_rest() -> None:
    # A caller's connection breaks after five words. With the last event's
    # id, the same POST or a GET returns exactly the missing words.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, headers=KEY)
        first = await caller.read_events(5)
        request_id = caller.headers['limpetroute-request-id']
        caller.rst()
        last = {'Last-Event-ID': first[-1][0]}
        again = await raw_caller.ask(fleet, headers={**KEY, **last})
        rest = await again.read_events()
        assert raw_caller.ids_of(rest) == list(range(5, 12))
        assert rest[-1][1] == '[DONE]'
        other = raw_caller.RawCaller(fleet.port)
        path = f'/v1/requests/{request_id}/events'
        await other.send('GET', path, headers=last)
        assert await other.read_events() == rest
        whole = raw_caller.RawCaller(fleet.port)
        await whole.send('GET', path)
        events = await whole.read_events()
        assert raw_caller.text_of(events) == fleet_module.want(12)
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story)


def test_wrong_event_ids() -> None:
    # An id that names no event of the request is an error, and must not
    # resume the answer at another position.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, headers=KEY)
        events = await caller.read_events()
        request_id = caller.headers['limpetroute-request-id']
        run_name = events[0][0].rsplit('-', 1)[0]
        path = f'/v1/requests/{request_id}/events'
        for bad in ('x', '-1', f'{run_name}-99', f'{run_name}-', 'run-1-2'):
            status, headers, body = await raw_caller.fetch(
                fleet, 'GET', path, headers={'Last-Event-ID': bad}
            )
            assert status == 400, bad
            assert body['error']['code'] == 'invalid_event_id'
        gone = 'run-' + 32 * '0' + '-3'
        caller = await raw_caller.ask(fleet, headers={'Last-Event-ID': gone})
        assert await caller.read_head() == 409
        assert b'start_over' in await caller.read_body()

    fleet_module.play(story)


def test_blind_repeat_fences_the_older_connection() -> None:
    # A client library repeats the request while its first connection
    # hangs. The repeat gets the whole answer of the same run, and the
    # first connection gets no further byte, so no answer is read twice.
    async def story(fleet: fleet_module.Fleet) -> None:
        first = await raw_caller.ask(fleet, headers=KEY, max_tokens=60)
        await first.read_events(3)
        second = await raw_caller.ask(fleet, headers=KEY, max_tokens=60)
        events = await second.read_events()
        assert raw_caller.text_of(events) == fleet_module.want(60)
        old = await first.read_events()
        assert old[-1][1] != '[DONE]'
        assert len(old) < 60
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story)


def test_delivered_answer_is_not_given_twice() -> None:
    # A repeat of a request whose answer was delivered is refused, so that
    # the caller does not process the answer twice. It can be read again
    # through its events while the record is retained.
    async def story(fleet: fleet_module.Fleet) -> None:
        for streamed in (True, False):
            headers = {'Idempotency-Key': f'key-{streamed}'}
            caller = await raw_caller.ask(
                fleet, stream=streamed, headers=headers
            )
            if streamed:
                await caller.read_events()
            else:
                await caller.read_body()
            again = await raw_caller.ask(
                fleet, stream=streamed, headers=headers
            )
            assert await again.read_head() == 409
            assert again.headers['limpetroute-outcome'] == 'already_delivered'
            assert again.headers['x-should-retry'] == 'false'
        assert fleet.count('prefills') == 2

    fleet_module.play(story)


def test_interrupted_whole_answer() -> None:
    # The connection breaks before a whole answer is sent. A repeat under
    # the same key gets the whole text of the same run.
    async def story(fleet: fleet_module.Fleet) -> None:
        first = await raw_caller.ask(
            fleet, stream=False, headers=KEY, max_tokens=20
        )
        await fleet_module.until(lambda: fleet.count('words') > 5)
        first.rst()
        second = await raw_caller.ask(
            fleet, stream=False, headers=KEY, max_tokens=20
        )
        assert fleet_module.want(20).encode() in await second.read_body()
        assert second.last_headers['limpetroute-outcome'] == 'completed'
        assert sorted(fleet.starts().values()) == [1, 1]

    fleet_module.play(story, resume_grace_s=2.0)


def test_same_key_other_body() -> None:
    # A key is reused for a different request by mistake, which must not
    # get the first request's answer. The order of JSON keys and white
    # space do not make a body different.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, headers=KEY)
        await caller.read_events(2)
        other = await raw_caller.ask(fleet, headers=KEY, prompt='Other')
        assert await other.read_head() == 422
        same = raw_caller.RawCaller(fleet.port)
        text = (
            '{ "stream": true,\n "max_tokens": 12, "prompt": '
            '"Check this guarantee\\nIt runs until June.",'
            ' "model": "review"}'
        )
        await same.send('POST', '/v1/completions', text.encode(), KEY)
        events = await same.read_events()
        assert raw_caller.text_of(events) == fleet_module.want(12)

    fleet_module.play(story)


def test_key_of_a_request_without_an_answer_starts_over() -> None:
    # The caller disconnects and its run is cancelled after the grace
    # period. A repeat under the key gets a whole answer of a new run.
    async def story(fleet: fleet_module.Fleet) -> None:
        first = await raw_caller.ask(fleet, headers=KEY, max_tokens=200)
        events = await first.read_events(3)
        first.fin()
        await fleet_module.until(lambda: fleet.host.in_progress == 0)
        resumed = await raw_caller.ask(
            fleet,
            headers={**KEY, 'Last-Event-ID': events[-1][0]},
            max_tokens=200,
        )
        rest = await resumed.read_events()
        assert rest[-1][1]['error']['limpetroute_outcome'] == 'cancelled'
        second = await raw_caller.ask(fleet, headers=KEY, max_tokens=200)
        events = await second.read_events()
        assert raw_caller.text_of(events) == fleet_module.want(200)

    fleet_module.play(story, engine={'step_s': 0.002})


def test_status_and_cancel() -> None:
    # A request is cancelled by its id. Its stream ends at once with an
    # error event, and the runner frees the memory.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, max_tokens=4000)
        await caller.read_events(2)
        path = f'/v1/requests/{caller.headers["limpetroute-request-id"]}'
        status, _, body = await raw_caller.fetch(fleet, 'GET', path)
        assert (status, body['state']) == (200, 'decode')
        status, _, body = await raw_caller.fetch(fleet, 'DELETE', path)
        assert (status, body['outcome']) == (200, 'cancelled')
        events = await caller.read_events()
        assert events[-1][1]['error']['code'] == 'cancelled_by_caller'
        await fleet_module.until(lambda: fleet.kv_used_bytes() == 0)
        status, _, body = await raw_caller.fetch(fleet, 'DELETE', path)
        assert (status, body['state']) == (200, 'ended')

    fleet_module.play(story)


def test_records_are_dropped_after_their_time() -> None:
    # Answers retained for a resume would fill the host's memory. They are
    # dropped after retain_s, or earlier if they hold too many bytes.
    async def story(fleet: fleet_module.Fleet) -> None:
        for _ in range(3):
            caller = await raw_caller.ask(fleet)
            await caller.read_events()
        assert len(fleet.host.records) == 3
        await fleet_module.until(lambda: len(fleet.host.records) == 0)
        assert fleet.host.records.ended_bytes == 0
        fleet.host.records._max_ended_bytes = 5000
        for _ in range(5):
            caller = await raw_caller.ask(fleet)
            await caller.read_events()
        assert len(fleet.host.records) == 2

    fleet_module.play(story, retain_s=0.8)


def test_given_up_is_told_at_once() -> None:
    # All runners refuse. The caller gets an error with Retry-After at
    # once, and not only at the deadline.
    async def story(fleet: fleet_module.Fleet) -> None:
        for engine in fleet.prefills:
            fleet.fault(engine, refuse=True)
        start_s = asyncio.get_running_loop().time()
        caller = await raw_caller.ask(fleet)
        assert await caller.read_head() == 503
        took_s = asyncio.get_running_loop().time() - start_s
        assert took_s < 2.0
        assert caller.headers['limpetroute-outcome'] == 'not_run'
        assert int(caller.headers['retry-after']) >= 1

    fleet_module.play(story, prefills=3, first_token_s=10.0)


def test_keep_alive_while_waiting() -> None:
    # The prefill takes long. Comments keep the connection alive, and
    # client libraries ignore them.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.prefills[0], slow_factor=2000.0)
        caller = await raw_caller.ask(fleet)
        events = await caller.read_events()
        assert caller.got.count(b': keep-alive\n') >= 2
        assert raw_caller.text_of(events) == fleet_module.want(12)

    fleet_module.play(story)


def _manifest(number: int, **tokens: str) -> manifest_module.ManifestBody:
    return manifest_module.ManifestBody.model_validate(
        {
            'number': number,
            'models': [
                {'name': 'review', 'version': '1', 'max_prompt_tokens': 50}
            ],
            'teams': [
                {
                    'name': name,
                    'token_sha256': hashlib.sha256(token.encode()).hexdigest(),
                }
                for name, token in tokens.items()
            ],
        }
    )


def _bearer(token: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {token}'}


def test_teams_by_token() -> None:
    # Two teams use the same key, and one uses the other's request id.
    # Each can access only its own requests. A token that the newest
    # manifest does not contain is rejected.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.host.manifest = _manifest(1, north='n-token', south='s-token')
        ids = []
        for token in ('n-token', 's-token'):
            caller = await raw_caller.ask(
                fleet, headers={**KEY, **_bearer(token)}
            )
            assert (await caller.read_events())[-1][1] == '[DONE]'
            ids.append(caller.headers['limpetroute-request-id'])
        assert ids[0] != ids[1]
        for path in (
            f'/v1/requests/{ids[0]}',
            f'/v1/requests/{ids[0]}/events',
        ):
            status, _, _ = await raw_caller.fetch(
                fleet, 'GET', path, headers=_bearer('s-token')
            )
            assert status == 404
        for wrong in ({}, _bearer('x'), {'Limpetroute-Team': 'north'}):
            status, headers, body = await raw_caller.fetch(
                fleet, 'GET', f'/v1/requests/{ids[0]}', headers=wrong
            )
            assert status == 401
            assert body['error']['code'] == 'invalid_api_key'
            assert headers['limpetroute-outcome'] == 'not_run'
        fleet.host.manifest = _manifest(2, south='s-token')
        status, _, _ = await raw_caller.fetch(
            fleet, 'GET', f'/v1/requests/{ids[0]}', headers=_bearer('n-token')
        )
        assert status == 401

    fleet_module.play(story)


def test_team_header_is_believed_only_without_tokens() -> None:
    # Without tokens the header names the team, unless the setting
    # disables it.
    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(
            fleet, headers={'Limpetroute-Team': 'north'}
        )
        await caller.read_events()
        assert fleet.only_record().record.team == 'north'
        fleet.host.settings = fleet.host.settings.model_copy(
            update={'believe_team_header': False}
        )
        path = f'/v1/requests/{caller.headers["limpetroute-request-id"]}'
        status, _, _ = await raw_caller.fetch(
            fleet, 'GET', path, headers={'Limpetroute-Team': 'north'}
        )
        assert status == 404

    fleet_module.play(story)


def test_a_resume_of_a_cancelled_run_is_told_to_start_over() -> None:
    """A caller repeats the resume of a run that can never go on."""

    async def story(fleet: fleet_module.Fleet) -> None:
        caller = await raw_caller.ask(fleet, headers=KEY, max_tokens=60)
        first = await caller.read_events(5)
        caller.rst()
        live = fleet.only_record()
        await fleet_module.until(lambda: live.record.end is not None)
        last = {'Last-Event-ID': first[-1][0]}
        resumed = await raw_caller.ask(
            fleet, headers={**KEY, **last}, max_tokens=60
        )
        *_, (_, end) = await resumed.read_events()
        assert end['error']['code'] == 'caller_gone'
        assert 'start over' in end['error']['message']
        again = await raw_caller.ask(fleet, headers=KEY, max_tokens=60)
        events = await again.read_events()
        assert raw_caller.text_of(events) == fleet_module.want(60)

    fleet_module.play(story, engine={'step_s': 0.03})
