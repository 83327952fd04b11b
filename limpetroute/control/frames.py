"""Frames of the journal: length, checksum, payload."""

import dataclasses
import struct

import crc32c

MAGIC = b'LRJ1'
_HEADER = struct.Struct('>4sII')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scan:
    """What a journal holds.

    Parameters
    ----------
    payloads : tuple of bytes
        Whole frames, in order.
    torn_bytes : int
        Bytes after them that are no whole frame.
    """

    payloads: tuple[bytes, ...]
    torn_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CorruptMiddle:
    """A damaged frame has whole frames behind it."""

    offset: int
    next_offset: int


def encode(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    return _HEADER.pack(MAGIC, len(payload), crc32c.crc32c(payload)) + payload


def scan(data: bytes) -> Scan | CorruptMiddle:
    """Read all frames.

    A crash tears the last frame at most: the next is written after the
    last one's sync has returned. A damaged frame with a whole one
    behind it was therefore synced, and perhaps acknowledged; dropping
    it would be a guess, so it is reported as a corrupt middle.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            behind = _find_frame(data, offset + 1)
            if behind is not None:
                return CorruptMiddle(offset=offset, next_offset=behind)
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return Scan(payloads=tuple(payloads), torn_bytes=len(data) - offset)


def _frame_at(data: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    if magic != MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if crc32c.crc32c(payload) != checksum:
        return None
    return payload


def _find_frame(data: bytes, offset: int) -> int | None:
    while True:
        offset = data.find(MAGIC, offset)
        if offset < 0:
            return None
        if _frame_at(data, offset) is not None:
            return offset
        offset += 1
