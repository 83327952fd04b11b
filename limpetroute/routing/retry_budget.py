"""Bound on the number of retries of a host."""

import collections


class RetryBudget:
    """Bound on the number of retries of a host to one service.

    When runners fail, each retry adds load to the remaining runners. If
    every request were retried, the load would double just when the fleet
    is smallest. The retries of all hosts are therefore bounded in any
    window by a share of the requests plus a fixed number. A host sees only
    its own requests, so it may use the share of these requests plus its
    part of the fixed number.

    Parameters
    ----------
    ratio : float
        Retries per request in the window.
    slack : float
        Additional retries in the window, of all hosts together.
    window_s : float
        Length of the sliding window.
    """

    # Share of `slack` that is given out. Hosts learn late how many hosts
    # there are; as only half is given out, all hosts together stay within
    # the bound even if their count is too low by a factor of two.
    SLACK_SHARE = 0.5

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests_s: collections.deque[float] = collections.deque()
        self._retries_s: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(ratio={self._ratio!r}, '
            f'slack={self._slack!r}, window_s={self._window_s!r})'
        )

    def note_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests_s.append(now_s)
        self._drop_old(now_s)

    def take(self, now_s: float, hosts: int) -> bool:
        """Count a retry and return True, if the budget allows one.

        Parameters
        ----------
        now_s : float
            Time of a monotonic clock.
        hosts : int
            Number of hosts that share the budget.
        """
        self._drop_old(now_s)
        own_slack = self._slack * self.SLACK_SHARE / max(1, hosts)
        allowed = self._ratio * len(self._requests_s) + own_slack
        if len(self._retries_s) + 1 > allowed:
            return False
        self._retries_s.append(now_s)
        return True

    def give_back(self) -> None:
        """Take a retry off the count that has reached no runner."""
        if self._retries_s:
            self._retries_s.pop()

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times_s in (self._requests_s, self._retries_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
