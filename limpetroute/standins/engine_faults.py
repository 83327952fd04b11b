"""Faults that tests inject into a stand-in engine."""

import pydantic

from limpetroute.border import strict_model


class EngineFaults(strict_model.StrictModel):
    """Active faults; none by default.

    Parameters
    ----------
    fail_prefill, fail_decode_after : int or None
        Fail this many prefills; fail a decode after this many words.
    stall_transfer : bool
        Transfers of KV caches stall.
    slow_factor : float
        Factor for all durations.
    silent : bool
        Streams stay open without sending events.
    refuse : bool
        Refuse all new work with an explicit refusal.
    break_stream_after : int or None
        Close each stream after this many events; the run continues.
    disorder : bool
        Send the events of a batch in reverse order, each one twice.
    fail_cancels : int
        Fail this many cancel calls.
    mute_prefill : bool
        Do not respond to prefills within `engine_handlers.MUTE_S`.
    drop_prefill_reply : int
        Run this many prefills, and close the connection instead of
        responding.
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
