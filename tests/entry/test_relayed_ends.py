import asyncio
import json

import pytest
import tornado.httpserver
import tornado.netutil
import tornado.web

from limpetroute.entry.peering import peer_relay
from limpetroute.wire import caller as caller_module
from limpetroute.wire import connection
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller

KEY = {'Idempotency-Key': 'verdict-8'}
RELAYED = {
    **KEY,
    'Limpetroute-Relayed-Team': 'default',
    'Limpetroute-Withhold-End': '1',
}
WORDS = 12


async def _call_holder(
    fleet: fleet_module.Fleet, headers: dict[str, str], *, stream: bool
) -> raw_caller.RawCaller:
    relay = raw_caller.RawCaller(fleet.entry.internal_port)
    body = {
        'model': fleet_module.MODEL,
        'prompt': fleet_module.PROMPT,
        'max_tokens': WORDS,
        'stream': stream,
    }
    path = f'{peer_relay.PREFIX}/v1/completions'
    await relay.send('POST', path, body, headers)
    return relay


async def _relay(
    fleet: fleet_module.Fleet, *, stream: bool
) -> raw_caller.RawCaller:
    """Read all of an answer but its end, as a relaying host does."""
    relay = await _call_holder(fleet, RELAYED, stream=stream)
    if stream:
        await relay.read_events(WORDS)
    else:
        await relay.read_head()
    return relay


async def _end(
    fleet: fleet_module.Fleet, relay: raw_caller.RawCaller
) -> tuple[int, bytes]:
    request_id = relay.headers['limpetroute-request-id']
    number = relay.headers['limpetroute-attachment']
    caller = raw_caller.RawCaller(fleet.entry.internal_port)
    path = f'{peer_relay.PREFIX}/v1/requests/{request_id}/end/{number}'
    await caller.send('POST', path, headers=RELAYED)
    body = await caller.read_body()
    return caller.status, body


@pytest.mark.parametrize('stream', [True, False])
def test_an_answer_lost_with_its_relaying_host_is_given_again(
    stream: bool,
) -> None:
    """A caller that got nothing is told that its answer was delivered."""

    async def story(fleet: fleet_module.Fleet) -> None:
        relay = await _relay(fleet, stream=stream)
        live = fleet.only_record()
        await fleet_module.until(lambda: live.record.end is not None)
        await asyncio.sleep(0.1)
        relay.rst()
        again = await raw_caller.ask(fleet, stream=stream, headers=KEY)
        assert await again.read_head() == 200
        if not stream:
            answer = json.loads(await again.read_body())
            text = answer['choices'][0]['text']
            assert text == fleet_module.want(WORDS)
            return
        events = await again.read_events()
        assert raw_caller.text_of(events) == fleet_module.want(WORDS)
        assert events[-1][1] == '[DONE]'

    fleet_module.play(story)


@pytest.mark.parametrize('stream', [True, False])
def test_a_released_end_counts_as_delivered(stream: bool) -> None:
    """An answer that reached its caller through a peer is given again."""

    async def story(fleet: fleet_module.Fleet) -> None:
        relay = await _relay(fleet, stream=stream)
        live = fleet.only_record()
        await fleet_module.until(lambda: live.record.end is not None)
        status, end = await _end(fleet, relay)
        assert status == 200
        assert end.endswith(b'data: [DONE]\n\n' if stream else b'}')
        again = await raw_caller.ask(fleet, stream=stream, headers=KEY)
        assert await again.read_head() == 409
        assert again.headers['limpetroute-outcome'] == 'already_delivered'

    fleet_module.play(story)


def test_an_end_is_not_released_to_a_replaced_connection() -> None:
    """Two connections of one caller both get the whole answer."""

    async def story(fleet: fleet_module.Fleet) -> None:
        relay = await _relay(fleet, stream=True)
        live = fleet.only_record()
        await fleet_module.until(lambda: live.record.end is not None)
        newer = await raw_caller.ask(fleet, headers=KEY)
        await newer.read_events()
        status, end = await _end(fleet, relay)
        assert status == 409
        assert b'DONE' not in end

    fleet_module.play(story)


def test_a_host_of_an_earlier_build_gets_the_whole_answer() -> None:
    """A relaying host that asks for no end ends its caller's stream."""

    async def story(fleet: fleet_module.Fleet) -> None:
        headers = {**KEY, 'Limpetroute-Relayed-Team': 'default'}
        relay = await _call_holder(fleet, headers, stream=True)
        events = await relay.read_events()
        assert 'limpetroute-attachment' not in relay.headers
        assert events[-1][1] == '[DONE]'
        again = await raw_caller.ask(fleet, headers=KEY)
        assert await again.read_head() == 409

    fleet_module.play(story)


class _HoldingHandler(tornado.web.RequestHandler):
    """A holder that another connection replaces before the end."""

    async def get(self) -> None:
        self.set_header('Limpetroute-Request-Id', 'req-1')
        self.set_header('Limpetroute-Attachment', '1')
        self.finish('id: run-0\ndata: {}\n\n')


class _RelayingHandler(tornado.web.RequestHandler):
    url = ''

    async def get(self) -> None:
        relay = peer_relay.PeerRelay(
            http=caller_module.Caller(), open_timeout_s=2, idle_timeout_s=2
        )
        await relay.relay(
            self,
            self.url,
            team='default',
            body=b'',
            caller_is_gone=lambda: False,
        )


def test_a_stream_whose_end_is_not_released_does_not_look_complete() -> None:
    """A caller takes an answer that goes to another connection for whole."""

    async def story() -> None:
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                [
                    (f'{peer_relay.PREFIX}/events', _HoldingHandler),
                    ('/events', _RelayingHandler),
                ]
            )
        )
        (sock,) = tornado.netutil.bind_sockets(0, '127.0.0.1')
        server.add_sockets([sock])
        _RelayingHandler.url = f'http://127.0.0.1:{sock.getsockname()[1]}'
        link = await caller_module.Caller().open(
            method='GET', url=f'{_RelayingHandler.url}/events', timeout_s=5
        )
        assert isinstance(link, connection.Connection)
        chunks = [chunk async for chunk in link.chunks(idle_timeout_s=5)]
        assert b''.join(chunks).startswith(b'id: run-0')
        assert not link.whole
        link.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(story())
