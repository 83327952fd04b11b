"""Messages of the membership protocol."""

import dataclasses
import enum

from limpetroute.peers import member_claim


class MessageKind(enum.StrEnum):
    """What a message asks or answers."""

    PING = 'ping'
    ACK = 'ack'
    PING_FOR = 'ping_for'
    ACK_FOR = 'ack_for'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberMessage:
    """A probe or its answer, with claims and values on its back.

    Parameters
    ----------
    kind : MessageKind
        What it is.
    sequence : int
        Number of the probe it belongs to.
    sender : MemberClaim
        The sender's claim about itself.
    subject_id : str
        For ``PING_FOR`` and ``ACK_FOR``: the host that is probed.
    claims : tuple of MemberClaim
        News, of bounded number.
    page_after : str or None
        Asks for a page of all claims, from this host id on.
    page_next : str or None
        Where the next page starts; None at the end.
    values : tuple of (str, int)
        Highest numbers known, for instance a manifest's.
    own_values : tuple of (str, int)
        Numbers in force at the sender itself.
    """

    kind: MessageKind
    sequence: int
    sender: member_claim.MemberClaim
    subject_id: str = ''
    claims: tuple[member_claim.MemberClaim, ...] = ()
    page_after: str | None = None
    page_next: str | None = None
    values: tuple[tuple[str, int], ...] = ()
    own_values: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """A message to be sent to an address."""

    url: str
    message: MemberMessage
