"""Encodes snapshots as bytes and decodes them."""

import struct

from limpetroute.agreement import membership
from limpetroute.agreement import snapshot as snapshot_module

_HEAD = struct.Struct('>QQI')


def encode(snapshot: snapshot_module.Snapshot) -> bytes:
    """Return a snapshot's bytes."""
    members = snapshot.membership.encode()
    head = _HEAD.pack(snapshot.last_index, snapshot.last_term, len(members))
    return head + members + snapshot.data


def decode(payload: bytes) -> snapshot_module.Snapshot:
    """Return the snapshot that `encode` encoded."""
    index, term, length = _HEAD.unpack_from(payload)
    end = _HEAD.size + length
    return snapshot_module.Snapshot(
        last_index=index,
        last_term=term,
        membership=membership.Membership.decode(payload[_HEAD.size : end]),
        data=payload[end:],
    )
