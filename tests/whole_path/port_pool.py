"""Ports for servers that tests start, each handed out once.

A port that the system chooses belongs to nobody between two starts of its
server. Another process, or an outgoing connection, may get it meanwhile.
The ports here lie below the range of outgoing connections, and each process
takes them from blocks of its own.
"""

import random
import socket

FIRST = 10_000
LAST = 32_000
BLOCK = 100
ADDRESS = '127.0.0.1'


class NoPortError(Exception):
    """All blocks of ports are in use."""


class PortPool:
    """Hands out ports from blocks that no other process uses.

    The first port of a block is kept bound for as long as the process
    lives, which reserves the block.
    """

    def __init__(self, *, first=FIRST, last=LAST, block=BLOCK):
        self._blocks = list(range(first, last, block))
        random.SystemRandom().shuffle(self._blocks)
        self._block = block
        self._guards = []
        self._unused = []

    def take(self):
        """Return a port that this pool has not returned before.

        Raises
        ------
        NoPortError
            If no block is left.
        """
        while True:
            if not self._unused:
                self._unused = self._reserve_block()
            port = self._unused.pop()
            if _is_free(port):
                return port

    def _reserve_block(self):
        while self._blocks:
            first = self._blocks.pop()
            guard = socket.socket()
            try:
                guard.bind((ADDRESS, first))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            return list(range(first + self._block - 1, first, -1))
        raise NoPortError('no block of ports is left')


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ADDRESS, port))
        except OSError:
            return False
        return True


_POOL = PortPool()


def free_port():
    """Return a port of loopback that no other server of the tests uses."""
    return _POOL.take()
