"""How long answers become, learned from those that ended."""

import math

# Callers' estimates are right at the median and often far off. Where they
# are off by as much as lengths differ, half of what an estimate says
# beyond the usual is true, until the slope has been measured.
PRIOR_SLOPE = 0.5
# Answers that the first slope counts for.
PRIOR_WEIGHT = 30.0
# Later answers push earlier ones out; half of the weight is from the
# last 140.
DECAY = 0.995


class LengthEstimate:
    """Corrects callers' estimates of the length of their answers.

    Taken as they are, estimates that are off by half preempt streams:
    the memory of a decode runner is planned to the end of each stream,
    and what outgrows its plan pushes the newest one out, whose prompt is
    read again. A line through the logarithms of estimates and lengths
    corrects them.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_estimated = 0.0
        self._sum_actual = 0.0
        self._sum_estimated_squared = 0.0
        self._sum_product = 0.0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(weight={self._weight!r}, '
            f'slope={self._slope()!r})'
        )

    def learn(self, *, estimated_tokens: int, actual_tokens: int) -> None:
        """Take note of an answer that came to its own end."""
        if estimated_tokens < 1 or actual_tokens < 1:
            return
        estimated = math.log(estimated_tokens)
        actual = math.log(actual_tokens)
        self._weight = self._weight * DECAY + 1
        self._sum_estimated = self._sum_estimated * DECAY + estimated
        self._sum_actual = self._sum_actual * DECAY + actual
        self._sum_estimated_squared = (
            self._sum_estimated_squared * DECAY + estimated * estimated
        )
        self._sum_product = self._sum_product * DECAY + estimated * actual

    def tokens(self, *, estimated_tokens: int, most_tokens: int) -> int:
        """Return how long an answer is expected to become."""
        if estimated_tokens < 1 or not self._weight:
            return estimated_tokens
        estimated = math.log(estimated_tokens)
        mean_estimated = self._sum_estimated / self._weight
        mean_actual = self._sum_actual / self._weight
        # With few answers, their mean says little: no correction before
        # the first, all of it after some thirty.
        trust = self._weight / (self._weight + PRIOR_WEIGHT)
        learned = mean_actual + self._slope() * (estimated - mean_estimated)
        expected = estimated + trust * (learned - estimated)
        return min(most_tokens, round(math.exp(expected)))

    def _slope(self) -> float:
        if not self._weight:
            return PRIOR_SLOPE
        mean_estimated = self._sum_estimated / self._weight
        mean_actual = self._sum_actual / self._weight
        variance = (
            self._sum_estimated_squared / self._weight
            - mean_estimated * mean_estimated
        )
        covariance = (
            self._sum_product / self._weight - mean_estimated * mean_actual
        )
        # The first slope stands for answers spread as usual (0.5).
        prior_variance = 0.25
        weight = PRIOR_WEIGHT / self._weight
        return (covariance + weight * prior_variance * PRIOR_SLOPE) / (
            variance + weight * prior_variance
        )
