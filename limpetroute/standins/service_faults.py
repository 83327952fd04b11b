"""Faults a stand-in plain service shows on command."""

import pydantic

from limpetroute.border import strict_model


class ServiceFaults(strict_model.StrictModel):
    """Faults in force; all off at first.

    Parameters
    ----------
    drop_reply : int
        Run this many calls and break the connection instead of the
        reply.
    refuse : bool
        Refuse all calls, with the service's own word for it.
    status : int or None
        Answer this status instead of running.
    delay_s : float
        Time that each call takes.
    """

    drop_reply: int = pydantic.Field(default=0, ge=0)
    refuse: bool = False
    status: int | None = None
    delay_s: float = pydantic.Field(default=0.0, ge=0)
