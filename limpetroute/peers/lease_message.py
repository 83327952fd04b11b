"""Messages between those who want leases and those who vote."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseWant:
    """A resource and the fencing number it is wanted under.

    Parameters
    ----------
    resource : str
        The resource.
    fence : int
        Fencing number.
    successor : str
        Host that holds copies of what the lease protects and alone is
        to take over, as `successor_text` writes it. Empty if not named.
    """

    resource: str
    fence: int
    successor: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRelease:
    """A lease given back.

    Parameters
    ----------
    resource : str
        The resource.
    fence : int
        The number it was held under.
    successor_id : str
        Host that has the holder's books and alone may have the lease
        before it would have lapsed; empty if anybody may.
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
        Names the ask; its vote repeats it.
    holder_id : str
        The host that asks.
    wants : tuple of LeaseWant
        New leases and renewals.
    releases : tuple of LeaseRelease
        Leases given back.
    """

    number: int
    holder_id: str
    wants: tuple[LeaseWant, ...] = ()
    releases: tuple[LeaseRelease, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseAnswer:
    """A voter's word on one resource.

    Parameters
    ----------
    resource : str
        The resource.
    fence : int
        The number it was wanted under.
    granted : bool
        Whether the voter promises it to the host that asked.
    highest_fence : int
        Highest number the voter had seen before.
    holder_id : str
        Host that the voter's promise stands for; empty if none.
    successor : str
        Successor that the last holder named, as the voter remembers it.
    """

    resource: str
    fence: int
    granted: bool
    highest_fence: int
    holder_id: str = ''
    successor: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseVote:
    """A voter's answers to one ask."""

    number: int
    voter_id: str
    answers: tuple[LeaseAnswer, ...] = ()


def successor_text(fence: int, number: int, host_id: str) -> str:
    """Write a successor; a higher fence or number stands for newer word."""
    return f'{fence}.{number}:{host_id}'


def successor_order(successor: str) -> tuple[int, int]:
    """Return the place of a successor among others; the highest holds."""
    fence, _, number = successor.partition(':')[0].partition('.')
    if not fence.isdigit() or not number.isdigit():
        return (-1, -1)
    return (int(fence), int(number))


def successor_host(successor: str) -> str:
    """Return the host of a successor."""
    return successor.partition(':')[2]
