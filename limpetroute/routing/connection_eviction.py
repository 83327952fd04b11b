"""Chooses the connections that a process closes when resources run out."""

import dataclasses
import enum
import typing

# Bytes that have to arrive for a request to count as making progress.
PROGRESS_BYTES = 1 << 16
# Connections that were opened or made progress within this time stay.
MIN_LAG_S = 1.0


class ConnectionPhase(enum.IntEnum):
    """What a connection is doing; lower values are closed first."""

    # Its request was refused; the rest of the request is dropped.
    REFUSED = 0
    # A request is arriving.
    HEAD = 1
    BODY = 2
    # Nothing has arrived yet.
    UNUSED = 3
    # Between two requests.
    IDLE = 4
    # A complete request is being answered.
    ANSWERING = 5


@dataclasses.dataclass(kw_only=True, slots=True)
class ConnectionProgress:
    """Progress of one connection; times are of a monotonic clock.

    Parameters
    ----------
    active_s : float
        When bytes last arrived or were accepted by the client.
    progress_s : float
        When the phase began, or ``PROGRESS_BYTES`` more had arrived in it.
    unsent_bytes : int
        Bytes of an answer that the client has not taken.
    """

    phase: ConnectionPhase = ConnectionPhase.UNUSED
    active_s: float
    progress_s: float
    unsent_bytes: int = 0
    _pending_bytes: int = 0

    def enter(self, phase: ConnectionPhase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.active_s = now_s
        self.progress_s = now_s
        self._pending_bytes = 0

    def note_bytes(self, count: int, now_s: float) -> None:
        """Record that bytes have arrived."""
        self.active_s = now_s
        self._pending_bytes += count
        if self._pending_bytes >= PROGRESS_BYTES:
            self._pending_bytes = 0
            self.progress_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Return the time since the connection last made progress."""
        if self.phase is ConnectionPhase.ANSWERING:
            return now_s - self.active_s if self.unsent_bytes else 0.0
        return now_s - self.progress_s


_WITHOUT_REQUEST = (ConnectionPhase.UNUSED, ConnectionPhase.IDLE)
_TRANSFERS = (ConnectionPhase.BODY, ConnectionPhase.ANSWERING)
_Connection = typing.TypeVar('_Connection')


def select(
    connections: typing.Iterable[tuple[_Connection, ConnectionProgress]],
    *,
    now_s: float,
    has_request: bool,
) -> list[_Connection]:
    """Return the connections that may be closed, the first to close first.

    A request that arrives slowly is closed before a connection that is idle,
    because the latter may be that of a caller who keeps it for later. A
    request that has arrived is not closed, unless its client takes nothing of
    the answer.

    Parameters
    ----------
    connections : iterable of tuple
        Each connection with its progress.
    now_s : float
        A monotonic clock, in seconds.
    has_request : bool
        Whether only connections with a part of a request or of an answer are
        of use, as others hold hardly any memory.
    """
    found = []
    for number, (connection, progress) in enumerate(connections):
        phase = progress.phase
        if has_request and phase in _WITHOUT_REQUEST:
            continue
        lag_s = progress.lag_s(now_s)
        if phase is not ConnectionPhase.REFUSED and lag_s < MIN_LAG_S:
            continue
        # Requests and answers that stall are alike.
        if phase in _TRANSFERS:
            phase = ConnectionPhase.HEAD
        found.append((phase, -lag_s, number, connection))
    found.sort(key=lambda one: one[:3])
    return [one[3] for one in found]
