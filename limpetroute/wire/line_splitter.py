"""Splits a byte stream into lines, independent of chunk boundaries."""


class LineSplitter:
    """Collects chunks and returns complete lines.

    Under load, one chunk may contain several lines, and one line may be
    split over several chunks.

    Parameters
    ----------
    max_line_bytes : int
        Longest incomplete line that is buffered.
    """

    __slots__ = ('_max_line_bytes', '_partial')

    def __init__(self, *, max_line_bytes: int = 1 << 20) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial = b''

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(max_line_bytes={self._max_line_bytes!r})'
        )

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk and return the non-empty lines that it completes.

        Raises
        ------
        ValueError
            If an incomplete line exceeds ``max_line_bytes``.
        """
        lines = (self._partial + chunk).split(b'\n')
        self._partial = lines.pop()
        if len(self._partial) > self._max_line_bytes:
            start = self._partial[:40]
            raise ValueError(f'line too long: {start!r}...')
        return [line for line in lines if line]
