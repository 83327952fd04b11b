"""Messages between lease holders and lease voters."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseWant:
    """A request for one lease, or its renewal.

    Parameters
    ----------
    resource : str
        Name of the resource.
    fence : int
        Fencing number under which the lease is requested.
    successor : str
        Host that holds copies of what the lease protects, and the only
        one that may take over, as `successor_text` writes it. Empty if
        none is named.
    """

    resource: str
    fence: int
    successor: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRelease:
    """A release of one lease.

    Parameters
    ----------
    resource : str
        Name of the resource.
    fence : int
        Fencing number under which the lease was held.
    successor_id : str
        Host that received the holder's book and is the only one that may
        acquire the lease before it would have expired; empty if any
        host may.
    """

    resource: str
    fence: int
    successor_id: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRequest:
    """A batch of requests, renewals and releases of one host.

    Parameters
    ----------
    number : int
        Number of the request; repeated in its vote.
    holder_id : str
        Host that sends the request.
    wants : tuple of LeaseWant
        Requested leases and renewals.
    releases : tuple of LeaseRelease
        Released leases.
    """

    number: int
    holder_id: str
    wants: tuple[LeaseWant, ...] = ()
    releases: tuple[LeaseRelease, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseAnswer:
    """A voter's answer to one `LeaseWant`.

    Parameters
    ----------
    resource : str
        Name of the resource.
    fence : int
        Fencing number under which the lease was requested.
    granted : bool
        Whether the voter promises the lease to the requesting host.
    highest_fence : int
        Highest fencing number that the voter had seen before.
    holder_id : str
        Host to which the voter has promised the lease; empty if none.
    successor : str
        Newest successor that the voter has stored.
    """

    resource: str
    fence: int
    granted: bool
    highest_fence: int
    holder_id: str = ''
    successor: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseVote:
    """A voter's answers to one `LeaseRequest`."""

    number: int
    voter_id: str
    answers: tuple[LeaseAnswer, ...] = ()


def successor_text(fence: int, number: int, host_id: str) -> str:
    """Encode a successor; a higher fence, then number, makes it newer."""
    return f'{fence}.{number}:{host_id}'


def successor_order(successor: str) -> tuple[int, int]:
    """Return the sort key of a successor; the highest is the newest."""
    fence, _, number = successor.partition(':')[0].partition('.')
    if not fence.isdigit() or not number.isdigit():
        return (-1, -1)
    return (int(fence), int(number))


def successor_host(successor: str) -> str:
    """Return the host id in an encoded successor."""
    return successor.partition(':')[2]
