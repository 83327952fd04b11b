"""Faults a stand-in engine shows on command."""

import pydantic

from limpetroute.border import strict_model


class EngineFaults(strict_model.StrictModel):
    """Faults in force; all off at first.

    Parameters
    ----------
    fail_prefill, fail_decode_after : int or None
        Fail this many prefills; fail a decode after this many words.
    stall_transfer : bool
        Transfers never end.
    slow_factor : float
        Factor on all times.
    silent : bool
        Streams stay open and bring nothing.
    refuse : bool
        Refuse all new work, with the engine's own word for it.
    break_stream_after : int or None
        Cut each stream after this many events; the run goes on.
    disorder : bool
        Events of a batch come backwards, and each twice.
    fail_cancels : int
        Fail this many cancel calls.
    mute_prefill : bool
        Prefills never answer.
    drop_prefill_reply : int
        Run this many prefills and break the connection instead of the
        reply.
    """

    fail_prefill: int = 0
    fail_decode_after: int | None = None
    stall_transfer: bool = False
    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    silent: bool = False
    refuse: bool = False
    break_stream_after: int | None = None
    disorder: bool = False
    fail_cancels: int = 0
    mute_prefill: bool = False
    drop_prefill_reply: int = 0
