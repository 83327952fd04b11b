"""How long answers become, learned from those that ended."""

import math

# Callers' estimates are right at the median and often far off. Where they
# are off by as much as lengths differ, half of what an estimate says
# beyond the usual is true, until the slope has been measured.
FIRST_SLOPE = 0.5
# Answers that the first slope counts for.
FIRST_WEIGHT = 30.0
# Later answers push earlier ones out; half of the weight is from the
# last 140.
FORGET = 0.995


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
        self._sum_said = 0.0
        self._sum_came = 0.0
        self._sum_said_said = 0.0
        self._sum_said_came = 0.0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(weight={self._weight!r}, '
            f'slope={self._slope()!r})'
        )

    def learn(self, *, said_tokens: int, came_tokens: int) -> None:
        """Take note of an answer that came to its own end."""
        if said_tokens < 1 or came_tokens < 1:
            return
        said = math.log(said_tokens)
        came = math.log(came_tokens)
        self._weight = self._weight * FORGET + 1
        self._sum_said = self._sum_said * FORGET + said
        self._sum_came = self._sum_came * FORGET + came
        self._sum_said_said = self._sum_said_said * FORGET + said * said
        self._sum_said_came = self._sum_said_came * FORGET + said * came

    def tokens(self, *, said_tokens: int, most_tokens: int) -> int:
        """Return how long an answer is expected to become."""
        if said_tokens < 1 or not self._weight:
            return said_tokens
        said = math.log(said_tokens)
        usual_said = self._sum_said / self._weight
        usual_came = self._sum_came / self._weight
        # With few answers, their mean says little: no correction before
        # the first, all of it after some thirty.
        trust = self._weight / (self._weight + FIRST_WEIGHT)
        learned = usual_came + self._slope() * (said - usual_said)
        expected = said + trust * (learned - said)
        return min(most_tokens, round(math.exp(expected)))

    def _slope(self) -> float:
        if not self._weight:
            return FIRST_SLOPE
        mean_said = self._sum_said / self._weight
        mean_came = self._sum_came / self._weight
        spread = self._sum_said_said / self._weight - mean_said * mean_said
        together = self._sum_said_came / self._weight - mean_said * mean_came
        # The first slope stands for answers spread as usual (0.5).
        first_spread = 0.25
        weight = FIRST_WEIGHT / self._weight
        return (together + weight * first_spread * FIRST_SLOPE) / (
            spread + weight * first_spread
        )
