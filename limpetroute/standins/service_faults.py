"""Faults that tests inject into a stand-in plain service."""

import pydantic

from limpetroute.border import strict_model


class ServiceFaults(strict_model.StrictModel):
    """Active faults; none by default.

    Parameters
    ----------
    drop_reply : int
        Run this many calls, and close the connection instead of
        responding.
    refuse : bool
        Refuse all calls with an explicit refusal.
    status : int or None
        Respond with this status instead of running the call.
    delay_s : float
        Duration of each call.
    """

    drop_reply: int = pydantic.Field(default=0, ge=0)
    refuse: bool = False
    status: int | None = None
    delay_s: float = pydantic.Field(default=0.0, ge=0)
