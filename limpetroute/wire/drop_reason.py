"""Why a connection was closed instead of being kept."""

import enum


class DropReason(enum.StrEnum):
    """Why a connection was closed instead of being kept.

    ``UNFINISHED`` is a connection whose response did not arrive completely
    or was not accepted, ``FAILED`` an idle one to a server at which another
    request failed.
    """

    BOUND = 'bound'
    CLOSED = 'closed'
    CONNECTION_CLOSE = 'connection_close'
    EARLY_ANSWER = 'early_answer'
    EXPIRED = 'expired'
    FAILED = 'failed'
    KEEP_ALIVE = 'keep_alive'
    LEFT = 'left'
    NEW_LEADER = 'new_leader'
    NO_FRAMING = 'no_framing'
    SHUTDOWN = 'shutdown'
    UNEXPECTED_BYTES = 'unexpected_bytes'
    UNFINISHED = 'unfinished'
