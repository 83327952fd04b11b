"""Grants of capacity at a runner: the request and its replies."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """One slot and an amount of KV memory for one request.

    Parameters
    ----------
    work_id, run_id : str
        Id of the request, and id of its run at the runner.
    asker_id : str
        Entry host that uses the grant.
    kv_bytes : int
        KV memory that the request may use.
    """

    work_id: str
    run_id: str
    asker_id: str
    kv_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantGiven:
    """The capacity is reserved.

    Parameters
    ----------
    fence : int
        Fencing number to send with the orders to the runner.
    valid_s : float
        Time, from the sending of the request, in which the run may be
        started.
    """

    fence: int
    valid_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantDenied:
    """The capacity is not available, or not known yet.

    Parameters
    ----------
    free_slots : int
        Slots that the grantor counts as free.
    reason : str
        ``full``, ``settling``, ``moving`` or ``leaving``.
    """

    free_slots: int
    reason: str = 'full'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotHolder:
    """The host does not hold the lease, so it cannot grant capacity.

    Parameters
    ----------
    holder_id : str
        Host that is believed to hold the lease; may be empty.
    """

    holder_id: str = ''


GrantAnswer = GrantGiven | GrantDenied | NotHolder
