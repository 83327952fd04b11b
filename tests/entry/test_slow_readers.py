import asyncio

from tests.entry import fleet as fleet_module
from tests.entry import raw_caller

BUFFER_BYTES = 8192
EVENT_BYTES = 400
WORDS = 1500


def _held_bytes(fleet: fleet_module.Fleet) -> int:
    """Return the most that one connection holds in the process."""
    sizes = [0]
    for handler in fleet.host.open_handlers:
        stream = handler.request.connection.stream
        sizes.append(len(stream._write_buffer))
    return max(sizes)


def test_slow_reader_is_bounded_and_slows_nobody() -> None:
    # A caller on a bad line reads nothing for a while. Its words wait
    # in the record, the connection holds no more than the bound, others
    # get their answers meanwhile, and then it reads all of its own.
    async def story(fleet: fleet_module.Fleet) -> None:
        body = {
            'model': fleet_module.MODEL,
            'prompt': fleet_module.PROMPT,
            'max_tokens': WORDS,
            'stream': True,
        }
        slow = raw_caller.RawCaller(fleet.port, receive_bytes=4096)
        await slow.send('POST', '/v1/completions', body)
        await fleet_module.until(lambda: fleet.count('words') > 100)
        most = 0
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for _ in range(5):
            quick = await raw_caller.ask(fleet, prompt='Other\n')
            events = await quick.read_events()
            assert events[-1][1] == '[DONE]'
            most = max(most, _held_bytes(fleet))
        assert loop.time() - start_s < 5.0
        await fleet_module.until(
            lambda: fleet.count('words') >= WORDS, limit_s=20
        )
        # It reads a little: what waits in the record is now far more
        # than the bound.
        for _ in range(10):
            assert await slow._more()
            await asyncio.sleep(0.01)
            most = max(most, _held_bytes(fleet))
        assert 0 < most <= BUFFER_BYTES + EVENT_BYTES
        events = await slow.read_events()
        assert raw_caller.ids_of(events) == list(range(WORDS))
        assert raw_caller.text_of(events) == fleet_module.want(WORDS)

    fleet_module.play(
        story,
        max_buffer_bytes=BUFFER_BYTES,
        write_stall_s=30.0,
        engine={'step_s': 0.0002},
    )
