"""Room at a runner: what is asked for and what is answered."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """One slot and some KV memory for one request.

    Parameters
    ----------
    work_id, run_id : str
        The request, and its name at the runner.
    asker_id : str
        The entry host that uses it.
    kv_bytes : int
        KV memory it may grow to.
    """

    work_id: str
    run_id: str
    asker_id: str
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantGiven:
    """The room is held.

    Parameters
    ----------
    fence : int
        Fencing number for the orders to the runner.
    valid_s : float
        Time, counted from the asking, in which the run may be started.
    """

    fence: int
    valid_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantDenied:
    """There is no room, or it is not known yet.

    Parameters
    ----------
    free_slots : int
        Slots that the grantor counts as free.
    reason : str
        ``full``, ``settling`` or ``moving``.
    """

    free_slots: int
    reason: str = 'full'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotHolder:
    """Another host grants room at the runner.

    Parameters
    ----------
    holder_id : str
        The host that does, as far as this one knows; may be empty.
    """

    holder_id: str = ''


GrantAnswer = GrantGiven | GrantDenied | NotHolder
