"""Links between control hosts that can be cut, from outside the processes.

Each control host listens at an address of its own, and others reach it
through a proxy at the address that it announces.
"""

import asyncio
import contextlib
import re

PEER_PATH = b'/v1/peer '
SENDER = re.compile(rb'"host_id": ?"([^"]+)"')
CHUNK_BYTES = 65536


class CoreLinks:
    """The proxies before all control hosts.

    Parameters
    ----------
    targets : dict of str to str
        Address at which each host listens, by the one that it announces.
    port : int
        Port of all of them.
    """

    def __init__(self, *, targets, port):
        self._targets = targets
        self._port = port
        self._servers = []
        # Hosts that are cut off from the others, and how often.
        self._cuts = dict.fromkeys(targets, 0)

    async def start(self):
        for host in self._targets:
            server = await asyncio.start_server(
                lambda reader, writer, host=host: self._serve(
                    host, reader, writer
                ),
                host,
                self._port,
            )
            self._servers.append(server)

    def close(self):
        for server in self._servers:
            server.close()

    def cut(self, host):
        self._cuts[host] += 1

    def heal(self, host):
        self._cuts[host] -= 1

    async def _serve(self, host, reader, writer):
        other = None
        try:
            head = await reader.read(CHUNK_BYTES)
            if PEER_PATH in head.split(b'\r\n')[0]:
                while not SENDER.search(head):
                    more = await reader.read(CHUNK_BYTES)
                    if not more:
                        return
                    head += more
                sender = SENDER.search(head).group(1).decode()
                if self._cuts[host] or self._cuts.get(sender):
                    # Bytes that a cut holds up are lost with the connection.
                    await reader.read()
                    return
            target = self._targets[host]
            back, other = await asyncio.open_connection(target, self._port)
            other.write(head)
            await asyncio.gather(
                _pass_on(reader, other), _pass_on(back, writer)
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()
            if other is not None:
                other.close()


async def _pass_on(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()
