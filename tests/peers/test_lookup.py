import asyncio
import types

from limpetroute.entry.peering import peer_codec
from limpetroute.entry.peering import peer_lookup
from limpetroute.entry.records import record_store
from limpetroute.peers import copy_holder

RUN = peer_codec.LookupCall(team='t', run_id='run-1')
ABSENT = peer_codec.LookupReply()
HELD = peer_codec.LookupReply(held=True)


class _Calls:
    """Gives each host's replies in turn, and repeats the last one."""

    def __init__(self, **replies):
        self.replies = replies

    async def post_and_decode(self, url, name, body, decode):
        replies = self.replies[url]
        return replies.pop(0) if len(replies) > 1 else replies[0]


def _lookup(**replies):
    return peer_lookup.PeerLookup(
        host_id='a',
        records=record_store.RecordStore(retain_s=300.0),
        copies=types.SimpleNamespace(
            owner='a@1.0', copies=copy_holder.CopyHolder()
        ),
        calls=_Calls(**replies),
        urls=lambda: {name: name for name in replies},
    )


def _find(lookup, *, timeout_s=5.0):
    return asyncio.run(lookup.find(RUN, timeout_s=timeout_s))


def test_a_holder_that_replies_late_is_found():
    """A caller starts over because its host was slow for a moment."""
    lookup = _lookup(b=[ABSENT], c=[None, HELD])
    assert _find(lookup) == ('c', False)


def test_a_host_that_never_replies_leaves_the_request_unresolved():
    """A caller is told that its answer is gone while nobody knows."""
    lookup = _lookup(b=[ABSENT], c=[None])
    assert _find(lookup, timeout_s=0.3) == (None, True)


def test_a_request_that_no_host_has_is_not_found():
    lookup = _lookup(b=[ABSENT], c=[ABSENT])
    assert _find(lookup) == (None, False)


def test_a_copy_that_its_owner_has_dropped_is_no_request():
    """A key gets 503 for as long as a former successor has its copy."""
    stale = peer_codec.LookupReply(
        copied=True, owner='b@1.0', copied_from='c@1.0'
    )
    lookup = _lookup(b=[stale], c=[peer_codec.LookupReply(owner='c@1.0')])
    assert _find(lookup) == (None, False)
    claimed = asyncio.run(lookup.claim('t', 'key', timeout_s=0.3))
    assert claimed == (None, False)


def test_a_copy_of_an_owner_that_lost_its_lease_is_waited_for():
    """A request is started again while its successor takes it over."""
    copied = peer_codec.LookupReply(
        copied=True, owner='b@1.0', copied_from='c@1.0'
    )
    owner = peer_codec.LookupReply(owner='c@1.1')
    lookup = _lookup(b=[copied, HELD], c=[owner])
    assert _find(lookup) == ('b', False)
    lookup = _lookup(b=[copied], c=[owner])
    assert _find(lookup, timeout_s=0.3) == (None, True)


def test_a_copy_that_a_host_of_an_earlier_build_has_is_waited_for():
    copied = peer_codec.LookupReply(copied=True)
    lookup = _lookup(b=[copied], c=[ABSENT])
    assert _find(lookup, timeout_s=0.3) == (None, True)
