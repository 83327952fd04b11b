"""Keeps one prefill runner free for short requests.

Load pattern: prompts of 30,000 tokens among prompts of forty. A runner
prefills one prompt at a time, so while every runner prefills a prompt
of 1.5 s, a short request with a target of 1 s misses it in any order of
the queue. Long requests that would block a runner for more than
`BLOCK_SHARE` of the shortest recent target of a short request may
therefore not start on the runner with the least name, which is the same
on all hosts without a message. Long requests lose that runner only if a
short request arrived within the last `SHORT_REQUEST_TTL_S`.

A request is short if its prefill takes at most `SHORT_SHARE` of the
mean of the last requests: prompts of 5 ms among prompts of 300 ms are
short, while prompts of about one size share one lane. With "long"
defined as more than four times the mean instead, most of the long
prompts counted as short when 30% of the prompts were short, and only 9%
of the short requests met their target at three times the capacity.
"""

from limpetroute.decisions import smoothed

BLOCK_SHARE = 0.5
SHORT_SHARE = 0.25
SHORT_REQUEST_TTL_S = 10.0
MEAN_WEIGHT = 0.02


class ShortLane:
    """Classifies the requests of one model as short or long."""

    __slots__ = ('_last_short_s', '_mean_prefill', '_min_slack_s')

    def __init__(self) -> None:
        self._mean_prefill = smoothed.Smoothed(prior=0.1, weight=MEAN_WEIGHT)
        self._last_short_s = float('-inf')
        self._min_slack_s = float('inf')

    def classify(self, prefill_s: float, slack_s: float, now_s: float) -> bool:
        """Record a request and return whether it is long.

        Parameters
        ----------
        prefill_s : float
            Time to prefill its prompt.
        slack_s : float
            Time from its arrival to its target.
        """
        self._mean_prefill.add(prefill_s)
        long = prefill_s > SHORT_SHARE * self._mean_prefill.value
        if not long:
            if now_s - self._last_short_s > SHORT_REQUEST_TTL_S:
                self._min_slack_s = slack_s
            self._min_slack_s = min(self._min_slack_s, slack_s)
            self._last_short_s = now_s
        return long

    def would_block(self, prefill_s: float, now_s: float) -> bool:
        """Whether a prefill would block short requests for too long."""
        if now_s - self._last_short_s > SHORT_REQUEST_TTL_S:
            return False
        return prefill_s > BLOCK_SHARE * self._min_slack_s
