"""Quarantined keys that occur in the same requests."""

import collections

from limpetroute.routing import quarantine

# Time after which keys that only occur together are taken for inseparable.
SEPARATION_S = 30.0


class JointBlame:
    """Quarantined keys that occur in the same requests.

    If several parts of prompts were at the same crashes, one of them may be
    sound and shared with other requests. A trial of such a request clears
    it; a trial of a request with all of them would crash a runner in vain.
    """

    __slots__ = ('_since_s',)

    def __init__(self) -> None:
        self._since_s: collections.OrderedDict[tuple[str, ...], float] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(sets={len(self._since_s)!r})'

    def wait_s(self, keys: tuple[str, ...], now_s: float) -> float:
        """Return how long a request with these keys has no trial.

        Parameters
        ----------
        keys : tuple of str
            The quarantined keys of the request.
        now_s : float
            A monotonic clock, in seconds.
        """
        if len(keys) < 2:
            return 0.0
        since_s = self._since_s.setdefault(keys, now_s)
        while len(self._since_s) > quarantine.MAX_QUARANTINED_REQUESTS:
            self._since_s.popitem(last=False)
        return max(0.0, since_s + SEPARATION_S - now_s)

    def forget(self, key: str) -> None:
        """Forget all sets that contain a key that was cleared."""
        for keys in [keys for keys in self._since_s if key in keys]:
            del self._since_s[keys]
