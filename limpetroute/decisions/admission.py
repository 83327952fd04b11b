"""Admission control: rejects requests that would miss their target.

Load pattern: saturation and bursts. Without admission control the queue
grows until every request in it is served just too late: the fleet is
fully loaded and its goodput is zero. The predicted time to the first
token is the cost of the queue ahead divided by its measured drain rate,
corrected by the error of past predictions, plus the prefill, the
transfer and one decode step.

A margin is added to the prediction. It grows by `MARGIN_STEP_SHARE` of
the target with each admitted request that misses its target and shrinks
by a smaller step with each that meets it, so that in equilibrium
`TARGET_MISS_SHARE` of the admitted requests miss. A fixed margin of 1.5
standard deviations let 22-33% of the admitted requests miss at three
times the capacity.

A request whose target even an idle runner cannot meet (a prompt that
takes 1.5 s to prefill, with a target of 1 s) is not rejected for that
reason, because every retry would be rejected too. Its limit is
`UNREACHABLE_TARGET_FACTOR` times the time that an idle fleet needs.
"""

from limpetroute.decisions import smoothed

TARGET_MISS_SHARE = 0.02
MARGIN_STEP_SHARE = 0.03
MAX_MARGIN_SHARE = 0.7
REJECTION_WEIGHT = 0.25
UNREACHABLE_TARGET_FACTOR = 4.0
MIN_SLACK_S = 0.01
BIAS_WEIGHT = 0.05
MAX_BIAS = 3.0
OVERDUE_FACTOR = 1.5


def limit_s(
    *, arrived_s: float, first_token_by_s: float, idle_first_token_s: float
) -> float:
    """Return the time by which the first token must arrive.

    Parameters
    ----------
    idle_first_token_s : float
        Time to the first token on an idle fleet.
    """
    if arrived_s + idle_first_token_s < first_token_by_s:
        return first_token_by_s
    return arrived_s + UNREACHABLE_TARGET_FACTOR * idle_first_token_s


class Margin:
    """Safety margin on a prediction, adapted to the share of misses."""

    __slots__ = ('_share',)

    def __init__(self) -> None:
        self._share = 0.0

    def value_s(self, slack_s: float) -> float:
        """Return the margin for a target that is ``slack_s`` away."""
        return MIN_SLACK_S + self._share * slack_s

    def record_rejection(self) -> None:
        """Shrink the margin a little after a rejection.

        Without this, a margin so large that every request is rejected
        would never shrink again.
        """
        step = REJECTION_WEIGHT * MARGIN_STEP_SHARE * TARGET_MISS_SHARE
        self._share = max(0.0, self._share - step)

    def record_outcome(self, *, missed: bool) -> None:
        """Adapt the margin to the outcome of an admitted request."""
        step = MARGIN_STEP_SHARE * TARGET_MISS_SHARE / (1 - TARGET_MISS_SHARE)
        change = MARGIN_STEP_SHARE if missed else -step
        self._share = min(MAX_MARGIN_SHARE, max(0.0, self._share + change))


class WaitBias:
    """Corrects predicted waits by the ratio of observed to predicted.

    Holds one margin for requests that are predicted to wait in the
    queue and one for requests that start at once.
    """

    __slots__ = ('_bias', 'immediate', 'queued')

    def __init__(self) -> None:
        self._bias = smoothed.Smoothed(prior=1.0, weight=BIAS_WEIGHT)
        self.immediate = Margin()
        self.queued = Margin()

    def margin(self, *, is_queued: bool) -> Margin:
        """Return the margin of queued requests or of immediate ones."""
        return self.queued if is_queued else self.immediate

    def corrected_wait_s(self, wait_s: float) -> float:
        """Return a predicted wait, corrected by the observed ratio."""
        return wait_s * self._bias.value

    def record_wait(self, predicted_s: float, actual_s: float) -> None:
        """Record the wait of a request that left the queue."""
        if predicted_s > MIN_SLACK_S:
            self._bias.add(min(MAX_BIAS, actual_s / predicted_s))

    def record_overdue(self, predicted_s: float, waited_s: float) -> None:
        """Record the wait of an admitted request that was given up.

        Without this, only requests that started would be counted, and
        under saturation those are the ones with short waits.
        """
        self.record_wait(predicted_s, waited_s * OVERDUE_FACTOR)
