"""Decides whether a host has lost its links to all runners."""

# A few runners may be down at the same time. Where more than this many in a
# row accept no connection and none does, the host's own links are suspected.
MIN_UNREACHABLE = 3


class RunnerReachability:
    """Decides whether a host has lost its links to all runners.

    Only attempts to connect count. A runner that accepts a connection and
    then is silent is reachable.
    """

    __slots__ = ('_unreachable',)

    def __init__(self) -> None:
        self._unreachable: set[str] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(unreachable={self._unreachable!r})'

    @property
    def has_failures(self) -> bool:
        """Whether a connection failed since the last one that succeeded."""
        return bool(self._unreachable)

    def note_connected(self) -> None:
        """Record that some runner accepted a connection."""
        self._unreachable.clear()

    def note_failed(self, address: str) -> None:
        """Record that the runner at an address accepted no connection."""
        self._unreachable.add(address)

    def is_cut_off(self, runner_count: int) -> bool:
        """Return whether the host seems to reach none of its runners.

        Parameters
        ----------
        runner_count : int
            Number of runners that the host knows.
        """
        needed = min(MIN_UNREACHABLE, runner_count)
        return 0 < needed <= len(self._unreachable)
