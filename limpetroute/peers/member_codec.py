"""Compact JSON of membership messages."""

import json
import typing

from limpetroute.peers import member_claim
from limpetroute.peers import member_message
from limpetroute.peers import member_status

__all__ = ['decode', 'encode']


def encode(message: member_message.MemberMessage) -> bytes:
    """Encode a message; claims are lists, in the order of their fields."""
    body: dict[str, typing.Any] = {
        'k': str(message.kind),
        'n': message.sequence,
        's': _pack(message.sender),
    }
    if message.subject_id:
        body['t'] = message.subject_id
    if message.claims:
        body['c'] = [_pack(claim) for claim in message.claims]
    if message.page_after is not None:
        body['a'] = message.page_after
    if message.page_next is not None:
        body['x'] = message.page_next
    if message.values:
        body['v'] = message.values
    if message.own_values:
        body['o'] = message.own_values
    return json.dumps(body, separators=(',', ':')).encode()


def decode(data: bytes) -> member_message.MemberMessage:
    """Decode a message.

    Raises
    ------
    ValueError
        If the data is malformed; the message quotes its start.
    """
    try:
        body = json.loads(data)
        return member_message.MemberMessage(
            kind=member_message.MessageKind(body['k']),
            sequence=int(body['n']),
            sender=_unpack(body['s']),
            subject_id=str(body.get('t', '')),
            claims=tuple(_unpack(item) for item in body.get('c', ())),
            page_after=body.get('a'),
            page_next=body.get('x'),
            values=_numbers(body.get('v', ())),
            own_values=_numbers(body.get('o', ())),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        start = data[:80]
        raise ValueError(f'not a membership message: {start!r}') from exc


def _pack(claim: member_claim.MemberClaim) -> list[typing.Any]:
    return [
        claim.host_id,
        claim.url,
        claim.zone,
        claim.incarnation,
        claim.refutation,
        str(claim.status),
        int(claim.leaving),
    ]


def _unpack(item: typing.Any) -> member_claim.MemberClaim:
    host_id, url, zone, incarnation, refutation, status, leaving = item
    return member_claim.MemberClaim(
        host_id=str(host_id),
        url=str(url),
        zone=str(zone),
        incarnation=int(incarnation),
        refutation=int(refutation),
        status=member_status.MemberStatus(status),
        leaving=bool(leaving),
    )


def _numbers(items: typing.Any) -> tuple[tuple[str, int], ...]:
    return tuple((str(name), int(number)) for name, number in items)
