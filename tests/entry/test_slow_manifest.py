"""An entry host fetches a large manifest over a slow link."""

import asyncio
import json

from limpetroute.border import entry_settings
from limpetroute.entry.manifests import manifest_watch
from limpetroute.wire import caller

CHUNKS = 8
CHUNK_INTERVAL_S = 0.25


def test_a_manifest_that_comes_slowly_comes_in_force(tmp_path):
    """A slow download must not keep an entry host at an old manifest.

    A manifest of 13,000 teams, 2 MB, takes over three seconds on a link
    of 5 Mbit/s. With a limit of 1.5 s for the whole call, each call was
    cut off and started from the beginning. A download that makes
    progress must not be cut off.
    """
    body = json.dumps({'number': 7, 'sender': 'ops'})
    answer = f'{{"number":7,"in_touch":true,"manifest":{body}}}'.encode()
    seen = []

    async def send_slowly(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n'
        writer.write(head.encode())
        size = -(-len(answer) // CHUNKS)
        for start in range(0, len(answer), size):
            await asyncio.sleep(CHUNK_INTERVAL_S)
            writer.write(answer[start : start + size])
        await writer.drain()
        writer.close()

    async def work():
        server = await asyncio.start_server(send_slowly, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        watch = manifest_watch.ManifestWatch(
            settings=entry_settings.EntrySettings(
                host_id='e1',
                zone='evere',
                zones=['evere'],
                demo=True,
                state_dir=tmp_path,
                control_urls=[f'http://127.0.0.1:{port}'],
            ),
            http=caller.Caller(),
            on_manifest=lambda body: seen.append(body.number),
        )
        watch.start()
        try:
            async with asyncio.timeout(3 * CHUNKS * CHUNK_INTERVAL_S):
                while not seen:
                    await asyncio.sleep(0.02)
        finally:
            watch.stop()
            server.close()

    asyncio.run(work())
    assert seen[0] == 7
