"""Messages of the membership protocol."""

import dataclasses
import enum

from limpetroute.peers import member_claim


class MessageKind(enum.StrEnum):
    """Kind of a membership message."""

    PING = 'ping'
    ACK = 'ack'
    PING_FOR = 'ping_for'
    ACK_FOR = 'ack_for'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberMessage:
    """A probe or its reply, which also carries claims and values.

    Parameters
    ----------
    kind : MessageKind
        Kind of the message.
    sequence : int
        Sequence number of the probe that the message belongs to.
    sender : MemberClaim
        The sender's claim about itself.
    subject_id : str
        For ``PING_FOR`` and ``ACK_FOR``: the host that is probed.
    claims : tuple of MemberClaim
        Claims that changed recently; their number is bounded.
    page_after : str or None
        Requests a page of all claims, after this host id.
    page_next : str or None
        Host id after which the next page starts; None at the end.
    values : tuple of (str, int)
        Highest numbers received by name, such as a manifest's number.
    own_values : tuple of (str, int)
        Numbers in effect at the sender.
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
