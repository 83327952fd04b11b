"""A host's request for a slot at a plain runner, and what it gets."""

import dataclasses
import enum


class SlotEnd(enum.StrEnum):
    """Ends of a slot that are no results of a send.

    ``UNUSED`` is returned by a host that sent nothing, and ``CUT`` by one
    whose caller disconnected or whose time was over.
    """

    UNUSED = 'unused'
    CUT = 'cut'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainSlotRequest:
    """A host's request for a slot at a plain runner.

    Parameters
    ----------
    service : str
        The service.
    request_id : str
        Identity of this send; two sends of one request have different ones.
    host_id, host_started_ms : str, int
        The entry host, and the start of its process in Unix time.
    zone : str
        Availability zone of the host.
    avoid : frozenset of str
        Runners that must not get the request.
    waited_s : float
        Time since the caller's request arrived.
    target_s : float
        Target for the time from its arrival to the answer.
    patience_s : float
        Time from its arrival to its deadline.
    priority : int
        0 is the most urgent.
    may_repeat : bool
        Whether the request may run more than once.
    """

    service: str
    request_id: str
    host_id: str
    host_started_ms: int = 0
    zone: str = ''
    avoid: frozenset[str] = frozenset()
    waited_s: float = 0.0
    target_s: float
    patience_s: float
    priority: int = 0
    may_repeat: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainSlotGrant:
    """A slot that is leased to a request.

    Parameters
    ----------
    request_id : str
        The request.
    runner_id : str
        The runner that has the slot.
    queued_s : float
        Time for which the request waited at the leader.
    """

    request_id: str
    runner_id: str
    queued_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainSlotRefusal:
    """A request that gets no slot; it has not run and will not.

    Parameters
    ----------
    request_id : str
        The request.
    retry_after_s : float
        When the caller should retry.
    reason : str
        Why it gets none.
    """

    request_id: str
    retry_after_s: float
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlainSlotReturn:
    """The end of a slot.

    Parameters
    ----------
    request_id : str
        The request that had the slot.
    runner_id : str
        Its runner; empty if the host has no response to its request.
    result : str
        A `SendResult` or a `SlotEnd`.
    took_s : float
        Time from sending the request to its end.
    """

    request_id: str
    runner_id: str
    result: str
    took_s: float


PlainSlotAnswer = PlainSlotGrant | PlainSlotRefusal
