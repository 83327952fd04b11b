"""Outcome of a call that got no usable reply."""

import dataclasses
import enum


class FailureKind(enum.StrEnum):
    """Where a call ended."""

    CONNECT = 'connect'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    GARBLED = 'garbled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """A call that ended without a whole reply.

    Parameters
    ----------
    kind : FailureKind
        Where the call ended.
    sent : bool
        Whether a byte of the request may have reached the other end.
        Only a call with ``sent`` false is known not to have run.
    detail : str
        Text for a log line.
    received_bytes : int
        What had come of the reply's body.
    refused : bool
        Whether nothing listens at the address.
    """

    kind: FailureKind
    sent: bool
    detail: str = ''
    received_bytes: int = 0
    refused: bool = False
