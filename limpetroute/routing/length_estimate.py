"""Estimates the length of answers from those that have ended."""

import math

# Callers' estimates are right at the median and often far off. If their error
# is as large as the spread of the lengths, half of an estimate's distance from
# the mean is true; this is assumed until the slope has been measured.
PRIOR_SLOPE = 0.5
# Number of answers that the prior slope counts for.
PRIOR_WEIGHT = 30.0
# Weight of earlier answers after each new one; the last 140 answers make up
# half of the total weight.
DECAY = 0.995


class LengthEstimate:
    """Corrects callers' estimates of the length of their answers.

    The memory of a decode runner is planned to the end of each stream. If
    estimates were used as they are and were off by half, streams would outgrow
    the plan and the newest one would be preempted, whose prompt is then
    prefilled again. A linear regression of the logarithms of lengths on those
    of the estimates corrects them.
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
        """Record the length of an answer that ended by itself."""
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
        """Return the expected length of an answer in tokens."""
        if estimated_tokens < 1 or not self._weight:
            return estimated_tokens
        estimated = math.log(estimated_tokens)
        mean_estimated = self._sum_estimated / self._weight
        mean_actual = self._sum_actual / self._weight
        # The mean of few answers is unreliable: there is no correction before
        # the first answer, half of it after 30, and nearly all of it after
        # many more.
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
        # Variance of the log lengths that the prior slope is based on, which
        # is that of a standard deviation of 0.5.
        prior_variance = 0.25
        weight = PRIOR_WEIGHT / self._weight
        return (covariance + weight * prior_variance * PRIOR_SLOPE) / (
            variance + weight * prior_variance
        )
