"""Result of a call that got no usable reply."""

import dataclasses
import enum


class FailureKind(enum.StrEnum):
    """How a call failed.

    An abandoned call was not sent, because its sender's right to send it had
    ended.
    """

    ABANDONED = 'abandoned'
    CONNECT = 'connect'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    GARBLED = 'garbled'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailed:
    """Result of a call that ended without a complete reply.

    Parameters
    ----------
    kind : FailureKind
        How the call failed.
    sent : bool
        Whether part of the request may have reached the server. Only a
        call with ``sent`` false is certain not to have run.
    detail : str
        Description of the cause, for a log line.
    received_bytes : int
        Bytes of the reply's body received before the failure.
    refused : bool
        Whether the server refused the connection.
    """

    kind: FailureKind
    sent: bool
    detail: str = ''
    received_bytes: int = 0
    refused: bool = False
