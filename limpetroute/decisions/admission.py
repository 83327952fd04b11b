"""Lets in what will meet its target and refuses the rest at once.

Load pattern: saturation and bursts. Without it the queue grows until
everything in it is served just too late: full work, no goodput. The
prediction is the queue ahead over its measured drain rate, corrected
by how wrong it was, plus reading, transfer and one step.

The margin grows by `STEP_SHARE` of the target at each request that was
let in and missed, and shrinks by so much less at each that made it
that at rest `MISS_SHARE` of them miss. A fixed number of deviations
was weighed (1.5): at 3x, 22-33% of those let in missed.

A request whose target no idle runner could meet (a dossier
that takes 1.5 s to read, with a target of 1 s) is not refused for it,
as it would be refused for ever: its limit is `STRETCH` times the time
that an idle fleet needs.
"""

from limpetroute.decisions import smoothed

TARGET_MISS_SHARE = 0.02
MARGIN_STEP_SHARE = 0.03
MAX_MARGIN_SHARE = 0.7
REFUSAL_WEIGHT = 0.25
UNREACHABLE_TARGET_FACTOR = 4.0
MIN_SLACK_S = 0.01
BIAS_WEIGHT = 0.05
MAX_BIAS = 3.0
OVERDUE_FACTOR = 1.5


def limit_s(
    *, arrived_s: float, first_token_by_s: float, idle_first_token_s: float
) -> float:
    """Return until when a request may wait for its first token."""
    if arrived_s + idle_first_token_s < first_token_by_s:
        return first_token_by_s
    return arrived_s + UNREACHABLE_TARGET_FACTOR * idle_first_token_s


class Margin:
    """What is added to a prediction, so that few of those let in miss."""

    __slots__ = ('_share',)

    def __init__(self) -> None:
        self._share = 0.0

    def value_s(self, slack_s: float) -> float:
        """Return the margin for a target that is ``slack_s`` away."""
        return MIN_SLACK_S + self._share * slack_s

    def record_refusal(self) -> None:
        """Learn from a refusal: less than from one that made it.

        Without it a margin that has grown so that nothing is let in
        would never shrink again.
        """
        step = REFUSAL_WEIGHT * MARGIN_STEP_SHARE * TARGET_MISS_SHARE
        self._share = max(0.0, self._share - step)

    def record_outcome(self, *, missed: bool) -> None:
        """Learn from a request that was let in."""
        step = MARGIN_STEP_SHARE * TARGET_MISS_SHARE / (1 - TARGET_MISS_SHARE)
        change = MARGIN_STEP_SHARE if missed else -step
        self._share = min(MAX_MARGIN_SHARE, max(0.0, self._share + change))


class WaitBias:
    """Corrects predicted waits by those seen, and says how wrong."""

    __slots__ = ('_bias', 'immediate', 'queued')

    def __init__(self) -> None:
        self._bias = smoothed.Smoothed(prior=1.0, weight=BIAS_WEIGHT)
        self.immediate = Margin()
        self.queued = Margin()

    def margin(self, *, is_queued: bool) -> Margin:
        """Return the margin of those that wait, or of the others."""
        return self.queued if is_queued else self.immediate

    def corrected_wait_s(self, wait_s: float) -> float:
        """Return a wait as experience corrects it."""
        return wait_s * self._bias.value

    def record_wait(self, predicted_s: float, actual_s: float) -> None:
        """Learn from a request taken from the queue."""
        if predicted_s > MIN_SLACK_S:
            self._bias.add(min(MAX_BIAS, actual_s / predicted_s))

    def record_overdue(self, predicted_s: float, waited_s: float) -> None:
        """Learn from a request given up after it was let in.

        Without it only those that made it would be learned from, and
        under saturation they say that all waits are short.
        """
        self.record_wait(predicted_s, waited_s * OVERDUE_FACTOR)
