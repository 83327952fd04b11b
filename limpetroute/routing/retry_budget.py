"""How many second sends a host may make."""

import collections


class RetryBudget:
    """How many second sends a host may make to one service.

    When runners fail, each request that is sent twice adds load to those
    that are left; with all callers doing so the load doubles just when
    the fleet is smallest. Second sends are therefore bounded, over all
    hosts, by a share of the requests and a fixed number in any window.
    A host sees only its own requests: it spends the share of these, and
    its part of the fixed number.

    Parameters
    ----------
    ratio : float
        Second sends for each request of the window.
    slack : float
        Second sends over that, of all hosts together.
    window_s : float
        Length of the sliding window.
    """

    # Hosts come and go, and their number is known late: half of the
    # fixed number is kept back, so that a count that is off by two
    # breaks nothing.
    RESERVE = 0.5

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests_s: collections.deque[float] = collections.deque()
        self._extras_s: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(ratio={self._ratio!r}, '
            f'slack={self._slack!r}, window_s={self._window_s!r})'
        )

    def note_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests_s.append(now_s)
        self._drop_old(now_s)

    def take(self, now_s: float, hosts: int) -> bool:
        """Take one second send, if the budget has one.

        Parameters
        ----------
        now_s : float
            A steady clock.
        hosts : int
            Hosts that share the budget.
        """
        self._drop_old(now_s)
        part = self._slack * self.RESERVE / max(1, hosts)
        allowed = self._ratio * len(self._requests_s) + part
        if len(self._extras_s) + 1 > allowed:
            return False
        self._extras_s.append(now_s)
        return True

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times_s in (self._requests_s, self._extras_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
