"""Cuts a byte stream into lines across chunk borders."""


class LineSplitter:
    """Collects chunks and gives back whole lines.

    Reads coalesce under load and lines are torn between chunks, so a
    chunk is never taken for a line.

    Parameters
    ----------
    max_line_bytes : int
        Longest line kept while its end has not arrived.
    """

    __slots__ = ('_max_line_bytes', '_rest')

    def __init__(self, *, max_line_bytes: int = 1 << 20) -> None:
        self._max_line_bytes = max_line_bytes
        self._rest = b''

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(max_line_bytes={self._max_line_bytes!r})'
        )

    def feed(self, chunk: bytes) -> list[bytes]:
        """Take a chunk and return the lines it completes.

        Raises
        ------
        ValueError
            If a line grows past ``max_line_bytes``.
        """
        lines = (self._rest + chunk).split(b'\n')
        self._rest = lines.pop()
        if len(self._rest) > self._max_line_bytes:
            start = self._rest[:40]
            raise ValueError(f'line too long: {start!r}...')
        return [line for line in lines if line]
