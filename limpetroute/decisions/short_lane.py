"""Keeps one prefill runner open for short work.

Load pattern: dossiers of 30,000 tokens among lookups of forty. A
runner reads one prompt at a time, so when every runner reads a dossier
of 1.5 s, a lookup with a target of 1 s has no chance, whatever the
queue's order. Long work that would block for over `BLOCK_SHARE` of the
shortest target seen lately may therefore not start on the one runner
with the least name: the same on every host, without a message. It
costs long work that runner only while short work really comes, within
`SEEN_S`.

Short is what takes under `SHORT_SHARE` of the mean of the last
requests: lookups of 5 ms among dossiers of 300 ms are, while checks
that are all of about one size share one lane. (Over four times the
mean as "long" was weighed: of dossiers among 30% lookups most then
counted as short, and 9% of the lookups met their target at 3x.)
"""

from limpetroute.decisions import smoothed

BLOCK_SHARE = 0.5
SHORT_SHARE = 0.25
SHORT_WORK_TTL_S = 10.0
MEAN_WEIGHT = 0.02


class ShortLane:
    """Tells long work from short, by model."""

    __slots__ = ('_last_short_s', '_mean_prefill', '_min_slack_s')

    def __init__(self) -> None:
        self._mean_prefill = smoothed.Smoothed(prior=0.1, weight=MEAN_WEIGHT)
        self._last_short_s = float('-inf')
        self._min_slack_s = float('inf')

    def classify(self, prefill_s: float, slack_s: float, now_s: float) -> bool:
        """Note a request; return whether it is long.

        Parameters
        ----------
        read_s : float
            Time to read its prompt.
        slack_s : float
            Time from its arrival to its target.
        """
        self._mean_prefill.add(prefill_s)
        long = prefill_s > SHORT_SHARE * self._mean_prefill.value
        if not long:
            if now_s - self._last_short_s > SHORT_WORK_TTL_S:
                self._min_slack_s = slack_s
            self._min_slack_s = min(self._min_slack_s, slack_s)
            self._last_short_s = now_s
        return long

    def would_block(self, prefill_s: float, now_s: float) -> bool:
        """Whether work would block a runner for too long."""
        if now_s - self._last_short_s > SHORT_WORK_TTL_S:
            return False
        return prefill_s > BLOCK_SHARE * self._min_slack_s
