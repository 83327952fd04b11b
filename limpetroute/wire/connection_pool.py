"""Idle connections that further requests may use."""

import asyncio
import collections.abc
import dataclasses
import functools
import socket
import typing

from tornado import iostream

from limpetroute.routing import connection_reuse
from limpetroute.wire import drop_reason
from limpetroute.wire import idle_check
from limpetroute.wire import pool_observer

# Idle connections of one host to all servers together.
MAX_TOTAL_IDLE = 64


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class _Idle:
    key: collections.abc.Hashable
    stream: iostream.IOStream
    expires_s: float
    timer: asyncio.TimerHandle | None = None


class ConnectionPool:
    """Idle connections that further requests may use.

    Parameters
    ----------
    max_idle_s : float
        Longest time that a connection is kept; 0 keeps none.
    user_timeout_s : float
        Time after which the system ends a kept connection on which sent
        data is not acknowledged.
    is_enabled : callable
        Returns whether requests may use kept connections now.
    observer : PoolObserver
        Counts what happens to the connections.
    max_total : int
        Most idle connections, to all servers together.
    """

    def __init__(
        self,
        *,
        max_idle_s: float,
        user_timeout_s: float,
        is_enabled: typing.Callable[[], bool],
        observer: pool_observer.PoolObserver,
        max_total: int = MAX_TOTAL_IDLE,
    ) -> None:
        self.max_idle_s = max_idle_s
        self.observer = observer
        self._user_timeout_ms = round(user_timeout_s * 1000)
        self._is_enabled = is_enabled
        self._max_total = max_total
        self._by_key: dict[collections.abc.Hashable, list[_Idle]] = {}
        # All idle connections, the one kept longest first.
        self._all: dict[_Idle, None] = {}
        self._is_closed = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(idle={len(self._all)!r})'

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._all)

    def slot(
        self, key: collections.abc.Hashable, max_idle: int
    ) -> 'PoolSlot | None':
        """Return where connections to one server are kept.

        None if requests must open their own connections now.
        """
        if self._is_closed or not self.max_idle_s or not self._is_enabled():
            return None
        return PoolSlot(pool=self, key=key, max_idle=max_idle)

    def take(self, key: collections.abc.Hashable) -> iostream.IOStream | None:
        """Remove and return a connection on which a request may be sent.

        The request must be written before the event loop runs again: the
        check holds only for this moment.
        """
        now_s = asyncio.get_running_loop().time()
        # The newest is the least likely to be about to be closed.
        while idle := self._newest(key):
            self._remove(idle)
            reason = idle_check.find_fault(idle.stream)
            if reason is None and now_s >= idle.expires_s:
                reason = drop_reason.DropReason.EXPIRED
            if reason is None:
                self.observer.reused()
                return idle.stream
            self._close(idle.stream, reason)
        return None

    def keep(
        self,
        key: collections.abc.Hashable,
        stream: iostream.IOStream,
        *,
        keep_s: float,
        max_idle: int,
    ) -> None:
        """Keep a connection, or close it if that is not possible."""
        reason = idle_check.find_fault(stream)
        if self._is_closed:
            reason = drop_reason.DropReason.SHUTDOWN
        elif keep_s <= 0:
            reason = reason or drop_reason.DropReason.KEEP_ALIVE
        elif max_idle <= 0:
            reason = reason or drop_reason.DropReason.BOUND
        if reason is not None:
            self._close(stream, reason)
            return
        while len(self._by_key.get(key, ())) >= max_idle:
            self._drop(self._by_key[key][0], drop_reason.DropReason.BOUND)
        while len(self._all) >= self._max_total:
            self._drop(next(iter(self._all)), drop_reason.DropReason.BOUND)
        loop = asyncio.get_running_loop()
        idle = _Idle(key=key, stream=stream, expires_s=loop.time() + keep_s)
        idle.timer = loop.call_later(
            keep_s, self._drop, idle, drop_reason.DropReason.EXPIRED
        )
        self._by_key.setdefault(key, []).append(idle)
        self._all[idle] = None
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms
        )
        # The stream then notices that the server closes the connection, so
        # that its descriptor does not stay in use.
        stream.set_close_callback(
            functools.partial(self._drop, idle, drop_reason.DropReason.CLOSED)
        )

    def drop(
        self, key: collections.abc.Hashable, reason: drop_reason.DropReason
    ) -> None:
        """Close the idle connections to one server."""
        for idle in list(self._by_key.get(key, ())):
            self._drop(idle, reason)

    def drop_all(self, reason: drop_reason.DropReason) -> None:
        """Close all idle connections."""
        for idle in list(self._all):
            self._drop(idle, reason)

    def close(self) -> None:
        """Close all idle connections, and keep none from now on."""
        self._is_closed = True
        self.drop_all(drop_reason.DropReason.SHUTDOWN)

    def _newest(self, key: collections.abc.Hashable) -> _Idle | None:
        idle = self._by_key.get(key)
        return idle[-1] if idle else None

    def _drop(self, idle: _Idle, reason: drop_reason.DropReason) -> None:
        if idle not in self._all:
            return
        self._remove(idle)
        self._close(idle.stream, reason)

    def _remove(self, idle: _Idle) -> None:
        del self._all[idle]
        same_key = self._by_key[idle.key]
        same_key.remove(idle)
        if not same_key:
            del self._by_key[idle.key]
        if idle.timer is not None:
            idle.timer.cancel()
        idle.stream.set_close_callback(None)

    def _close(
        self, stream: iostream.IOStream, reason: drop_reason.DropReason
    ) -> None:
        stream.close()
        self.observer.dropped(reason)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PoolSlot:
    """The part of a pool for the connections to one server.

    Parameters
    ----------
    pool : ConnectionPool
        The pool.
    key : hashable
        Identity of the server, so that a connection is used for no other.
    max_idle : int
        Most idle connections to the server.
    may_take : bool
        Whether a kept connection may be used; otherwise a new one is
        opened, which may be kept.
    """

    pool: ConnectionPool
    key: collections.abc.Hashable
    max_idle: int
    may_take: bool = True

    def take(self) -> iostream.IOStream | None:
        """Return a kept connection; see `ConnectionPool.take`."""
        return self.pool.take(self.key) if self.may_take else None

    def keep(self, stream: iostream.IOStream, keep_alive: str | None) -> None:
        """Keep a connection, for a time that its response allows."""
        self.pool.keep(
            self.key,
            stream,
            keep_s=connection_reuse.keep_s(keep_alive, self.pool.max_idle_s),
            max_idle=self.max_idle,
        )
