"""Data of a write that failed."""

import asyncio
import gc
import socket
import weakref

import pytest

from limpetroute.server import bounded_stream
from limpetroute.wire import client_stream


class _Data(bytearray):
    """Data that shows whether they are still in memory."""


# Guards against data that stay in memory after the write that failed, until
# the next garbage collection.
@pytest.mark.parametrize(
    'stream_class',
    [client_stream.ClientStream, bounded_stream.BoundedStream],
)
def test_the_data_of_a_failed_write_are_released(stream_class):
    def write(stream):
        data = _Data(1000)
        stream.write(data)
        assert isinstance(stream.error, OSError)
        return weakref.ref(data)

    async def work():
        near, far = socket.socketpair()
        far.close()
        stream = stream_class(near)
        return write(stream)() is None

    gc.disable()
    try:
        assert asyncio.run(work())
    finally:
        gc.enable()
