"""When a quarantined request may be tried once more."""

import collections

from limpetroute.routing import quarantine

# Before each trial: what was there is forgiven soon if the runners crashed
# by themselves; a request that crashed another one has to wait for long.
TRIAL_DELAYS_S = (2.0, 30.0, 600.0)
# A request whose trials are spent starts anew after this long.
QUARANTINE_TTL_S = 1800.0


class TrialTimes:
    """When a quarantined request may be tried once more.

    Known to the host that leads alone: another leader begins to wait
    anew, so a change of leaders never brings a trial forward.
    """

    def __init__(self) -> None:
        self._since: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(requests={len(self._since)!r})'

    def wait_s(self, fingerprint: str, trials: int, now_s: float) -> float:
        """Return how long it still has to wait.

        Parameters
        ----------
        fingerprint : str
            The request.
        trials : int
            Trials that it has had.
        now_s : float
            A steady clock.
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
