"""A large body that is kept in the chunks in which it arrived."""

import typing


class ChunkedBody:
    """A large body that is kept in the chunks in which it arrived.

    Joining the chunks would need the memory of the body a second time.

    Parameters
    ----------
    chunks : iterable of bytes
        The parts of the body, in order.
    """

    __slots__ = ('_size', 'chunks')

    def __init__(self, *, chunks: typing.Iterable[bytes]) -> None:
        self.chunks = tuple(chunks)
        self._size = sum(len(chunk) for chunk in self.chunks)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(size={self._size!r})'

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b''.join(self.chunks)
