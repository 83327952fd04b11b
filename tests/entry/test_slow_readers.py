import asyncio

from tests.entry import fleet as fleet_module
from tests.entry import raw_caller

BUFFER_BYTES = 8192
EVENT_BYTES = 400
WORDS = 1500


def _held_bytes(fleet: fleet_module.Fleet) -> int:
    """Return the largest write buffer of all connections."""
    sizes = [0]
    for handler in fleet.host.open_handlers:
        stream = handler.request.connection.stream
        sizes.append(len(stream._write_buffer))
    return max(sizes)


def test_slow_reader_is_bounded_and_slows_nobody() -> None:
    # A caller does not read for a while. Its events stay in the record,
    # its connection buffers no more than the limit, other callers get
    # their answers, and the slow caller then reads its whole answer.
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
        # The slow caller reads a little. The events that wait in the
        # record are now much larger than the limit.
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
