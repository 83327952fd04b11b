"""Compact JSON of lease messages, which hosts exchange continuously."""

import json
import typing

from limpetroute.peers import lease_message

__all__ = ['decode_ask', 'decode_vote', 'encode_ask', 'encode_vote']

_T = typing.TypeVar('_T')


def encode_ask(request: lease_message.LeaseRequest) -> bytes:
    """Encode a lease request as lists, in the order of the fields."""
    wants = [
        [item.resource, item.fence, item.successor] for item in request.wants
    ]
    releases = [
        [item.resource, item.fence, item.successor_id]
        for item in request.releases
    ]
    return _dump([request.number, request.holder_id, wants, releases])


def decode_ask(data: bytes) -> lease_message.LeaseRequest:
    """Decode a lease request.

    Raises
    ------
    ValueError
        If the data is malformed; the message quotes its start.
    """
    return _load(data, _request)


def encode_vote(vote: lease_message.LeaseVote) -> bytes:
    """Encode a vote as lists, in the order of the fields."""
    answers = [
        [
            item.resource,
            item.fence,
            int(item.granted),
            item.highest_fence,
            item.holder_id,
            item.successor,
        ]
        for item in vote.answers
    ]
    return _dump([vote.number, vote.voter_id, answers])


def decode_vote(data: bytes) -> lease_message.LeaseVote:
    """Decode a vote.

    Raises
    ------
    ValueError
        If the data is malformed; the message quotes its start.
    """
    return _load(data, _vote)


def _request(body: typing.Any) -> lease_message.LeaseRequest:
    number, holder_id, wants, releases = body
    return lease_message.LeaseRequest(
        number=int(number),
        holder_id=str(holder_id),
        wants=tuple(
            lease_message.LeaseWant(
                resource=str(resource),
                fence=int(fence),
                successor=str(successor),
            )
            for resource, fence, successor in wants
        ),
        releases=tuple(
            lease_message.LeaseRelease(
                resource=str(resource),
                fence=int(fence),
                successor_id=str(successor),
            )
            for resource, fence, successor in releases
        ),
    )


def _vote(body: typing.Any) -> lease_message.LeaseVote:
    number, voter_id, answers = body
    return lease_message.LeaseVote(
        number=int(number),
        voter_id=str(voter_id),
        answers=tuple(
            lease_message.LeaseAnswer(
                resource=str(resource),
                fence=int(fence),
                granted=bool(granted),
                highest_fence=int(highest),
                holder_id=str(holder),
                successor=str(successor),
            )
            for resource, fence, granted, highest, holder, successor in answers
        ),
    )


def _dump(body: typing.Any) -> bytes:
    return json.dumps(body, separators=(',', ':')).encode()


def _load(data: bytes, make: typing.Callable[[typing.Any], _T]) -> _T:
    try:
        return make(json.loads(data))
    except (ValueError, TypeError) as exc:
        start = data[:80]
        raise ValueError(f'not a lease message: {start!r}') from exc
