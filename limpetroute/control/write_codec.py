"""Encodes the writes of replicas as bytes and decodes them."""

import struct
import typing

from limpetroute.agreement import effects
from limpetroute.agreement import entry as entry_module
from limpetroute.control import group_image

_OP = struct.Struct('>BH')
_VOTE = struct.Struct('>QH')
_COUNT = struct.Struct('>I')
_ENTRY = struct.Struct('>QQBI')
_BASE = struct.Struct('>QQ?')
_VOTE_OP = 1
_ENTRIES_OP = 2
_BASE_OP = 3
_KINDS = (
    entry_module.EntryKind.COMMAND,
    entry_module.EntryKind.MEMBERS,
    entry_module.EntryKind.NOOP,
)


def encode(group: int, write: effects.Write) -> bytes:
    """Return a write's bytes; for a snapshot, only its index and term."""
    match write:
        case effects.SaveVote():
            return encode_vote(group, write.term, write.voted_for)
        case effects.SaveEntries():
            return encode_entries(group, write.entries)
        case effects.SaveSnapshot():
            snapshot = write.snapshot
            return encode_base(
                group,
                snapshot.last_index,
                snapshot.last_term,
                write.keeps_log,
            )


def encode_vote(group: int, term: int, voted_for: str) -> bytes:
    """Return the bytes of a vote."""
    name = voted_for.encode()
    return _OP.pack(_VOTE_OP, group) + _VOTE.pack(term, len(name)) + name


def encode_entries(
    group: int, entries: typing.Sequence[entry_module.Entry]
) -> bytes:
    """Return the bytes of entries."""
    parts = [_OP.pack(_ENTRIES_OP, group), _COUNT.pack(len(entries))]
    for entry in entries:
        kind = _KINDS.index(entry.kind)
        parts.append(
            _ENTRY.pack(entry.index, entry.term, kind, len(entry.data))
        )
        parts.append(entry.data)
    return b''.join(parts)


def encode_base(group: int, index: int, term: int, keeps_log: bool) -> bytes:
    """Return the bytes of a snapshot's index and term."""
    return _OP.pack(_BASE_OP, group) + _BASE.pack(index, term, keeps_log)


def apply_all(
    payload: bytes, images: dict[int, group_image.GroupImage]
) -> None:
    """Apply a frame's writes to the groups' images.

    Raises
    ------
    ValueError
        If the payload is not a result of `encode`.
    """
    offset = 0
    try:
        while offset < len(payload):
            op, group = _OP.unpack_from(payload, offset)
            image = images.setdefault(group, group_image.GroupImage())
            offset = _apply_one(op, image, payload, offset + _OP.size)
    except struct.error as exc:
        raise ValueError(f'frame ends at {offset!r}: {exc}') from exc


def _apply_one(
    op: int, image: group_image.GroupImage, payload: bytes, offset: int
) -> int:
    if op == _VOTE_OP:
        term, length = _VOTE.unpack_from(payload, offset)
        offset += _VOTE.size
        image.apply_vote(term, payload[offset : offset + length].decode())
        return offset + length
    if op == _BASE_OP:
        index, term, keeps_log = _BASE.unpack_from(payload, offset)
        image.apply_base(index, term, keeps_log)
        return offset + _BASE.size
    if op != _ENTRIES_OP:
        raise ValueError(f'unknown record kind {op!r}')
    (count,) = _COUNT.unpack_from(payload, offset)
    offset += _COUNT.size
    entries = []
    for _ in range(count):
        index, term, kind, length = _ENTRY.unpack_from(payload, offset)
        offset += _ENTRY.size
        entries.append(
            entry_module.Entry(
                index=index,
                term=term,
                kind=_KINDS[kind],
                data=payload[offset : offset + length],
            )
        )
        offset += length
    if entries:
        image.apply_entries(tuple(entries))
    return offset
