import asyncio

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
        copies=copy_holder.CopyHolder(),
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
