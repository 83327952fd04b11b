"""Frames of the journal: length, checksum, payload."""

import dataclasses
import struct

import crc32c

MAGIC = b'LRJ1'
_HEADER = struct.Struct('>4sII')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scan:
    """The content of a journal.

    Parameters
    ----------
    payloads : tuple of bytes
        Payloads of the whole frames, in order.
    torn_bytes : int
        Number of bytes after the last whole frame.
    """

    payloads: tuple[bytes, ...]
    torn_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CorruptMiddle:
    """A damaged frame is followed by a whole frame."""

    offset: int
    next_offset: int


def encode(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    return _HEADER.pack(MAGIC, len(payload), crc32c.crc32c(payload)) + payload


def scan(data: bytes) -> Scan | CorruptMiddle:
    """Parse all frames.

    A crash can tear only the last frame, because each frame is written
    after the sync of the one before. A damaged frame followed by a whole
    one was therefore synced and perhaps acknowledged. It must not be
    dropped, so it is reported as `CorruptMiddle`.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _frame_at(data, offset)
        if payload is None:
            next_offset = _find_frame(data, offset + 1)
            if next_offset is not None:
                return CorruptMiddle(offset=offset, next_offset=next_offset)
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
