"""Delays before a quarantined request may be tried again."""

import collections

from limpetroute.routing import quarantine

# Delay before each trial. A request is released soon if the runners crashed
# for another reason; a request that crashes a further runner waits longer.
TRIAL_DELAYS_S = (2.0, 30.0, 600.0)
# Time after which a request that has used all its trials is released.
QUARANTINE_TTL_S = 1800.0


class TrialTimes:
    """Delays before a quarantined request may be tried again.

    The times are stored on the leader only. A new leader restarts the
    delay, so a change of leader never makes a trial earlier.
    """

    def __init__(self) -> None:
        self._since: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(requests={len(self._since)!r})'

    def wait_s(self, fingerprint: str, trials: int, now_s: float) -> float:
        """Return the remaining delay in seconds.

        Parameters
        ----------
        fingerprint : str
            The request.
        trials : int
            Number of its earlier trials.
        now_s : float
            A monotonic clock.
        """
        known = self._since.get(fingerprint)
        if known is None or known[0] != trials:
            known = self._since[fingerprint] = (trials, now_s)
            while len(self._since) > quarantine.MAX_QUARANTINED_REQUESTS:
                self._since.popitem(last=False)
        self._since.move_to_end(fingerprint)
        delay_s = QUARANTINE_TTL_S
        if trials < len(TRIAL_DELAYS_S):
            delay_s = TRIAL_DELAYS_S[trials]
        return max(0.0, known[1] + delay_s - now_s)
