"""When a host last heard each other host, and since when without a gap."""

import dataclasses

# A host that was not heard for longer is not present.
PRESENT_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostContact:
    """The contact with one host.

    Parameters
    ----------
    replica_id : str
        Identity of the host's disk.
    joined_s : float
        Start of the contact with this disk, without a longer gap than
        `PRESENT_S`.
    last_s : float
        When the host was last heard.
    """

    replica_id: str
    joined_s: float
    last_s: float


class HostContacts:
    """When a host last heard each other host, and since when without a gap.

    Every host records its contacts, also while it does not lead. A new
    leader therefore knows how long a member has been silent.

    Parameters
    ----------
    started_s : float
        When the recording started. A host that was never heard is silent
        since then.
    """

    __slots__ = ('_contacts', '_started_s')

    def __init__(self, *, started_s: float) -> None:
        self._started_s = started_s
        self._contacts: dict[str, HostContact] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(hosts={sorted(self._contacts)!r})'

    def record(self, host_id: str, replica_id: str, now_s: float) -> None:
        """Record that a host with this disk was heard."""
        known = self._contacts.get(host_id)
        joined_s = now_s
        if (
            known is not None
            and known.replica_id == replica_id
            and now_s - known.last_s <= PRESENT_S
        ):
            joined_s = known.joined_s
        self._contacts[host_id] = HostContact(
            replica_id=replica_id, joined_s=joined_s, last_s=now_s
        )

    def present(self, now_s: float) -> dict[str, str]:
        """Return the disk of each host that was heard recently, by host."""
        return {
            host_id: contact.replica_id
            for host_id, contact in self._contacts.items()
            if now_s - contact.last_s <= PRESENT_S
        }

    def has_heard(self, host_id: str) -> bool:
        """Return whether a host was heard since the recording started."""
        return host_id in self._contacts

    def last_s(self, host_id: str) -> float:
        """Return when a host was last heard."""
        known = self._contacts.get(host_id)
        return self._started_s if known is None else known.last_s

    def joined_s(self, host_id: str) -> float:
        """Return since when a host has been in contact."""
        known = self._contacts.get(host_id)
        return self._started_s if known is None else known.joined_s
