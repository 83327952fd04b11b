"""Lets in what will meet its target and refuses the rest at once.

Load pattern: saturation and bursts. Without it the queue grows until
everything in it is served just too late: full work, no goodput. The
prediction is the queue ahead over its measured drain rate, corrected
by how wrong it was, plus reading, transfer and one step.

The margin is `SAFETY` deviations of the prediction's error: one lets
about one in six admitted miss, two about one in forty, which is the 3%
allowed. A request whose target no idle runner could meet (a dossier
that takes 1.5 s to read, with a target of 1 s) is not refused for it,
as it would be refused for ever: its limit is `STRETCH` times the time
that an idle fleet needs.
"""

import dataclasses

from limpetroute.decisions import smoothed

SAFETY = 1.5
STRETCH = 4.0
MIN_SLACK_S = 0.01
BIAS_WEIGHT = 0.05
MAX_BIAS = 3.0
OVERDUE_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prediction:
    """When the first token would come, from now.

    Parameters
    ----------
    wait_s : float
        Time in the queue.
    service_s : float
        Reading, transfer and the first step.
    margin_s : float
        What is added because predictions err.
    """

    wait_s: float
    service_s: float
    margin_s: float

    @property
    def total_s(self) -> float:
        """Expected time to the first token."""
        return self.wait_s + self.service_s


def limit_s(
    *, arrived_s: float, first_token_by_s: float, idle_s: float
) -> float:
    """Return until when a request may wait for its first token."""
    if arrived_s + idle_s < first_token_by_s:
        return first_token_by_s
    return arrived_s + STRETCH * idle_s


class WaitBias:
    """Corrects predicted waits by those seen, and says how wrong."""

    __slots__ = ('_bias', '_error', 'service_error')

    def __init__(self) -> None:
        self._bias = smoothed.Smoothed(prior=1.0, weight=BIAS_WEIGHT)
        self._error = smoothed.Smoothed(prior=0.0, weight=BIAS_WEIGHT)
        self.service_error = smoothed.Smoothed(prior=0.0, weight=BIAS_WEIGHT)

    @property
    def margin_s(self) -> float:
        """Time to add to a prediction of the whole."""
        return MIN_SLACK_S + SAFETY * self._error.value

    @property
    def service_margin_s(self) -> float:
        """Time to add to a prediction without the queue."""
        return MIN_SLACK_S + SAFETY * self.service_error.value

    def corrected_s(self, wait_s: float) -> float:
        """Return a wait as experience corrects it."""
        return wait_s * self._bias.value

    def saw_wait(self, raw_s: float, actual_s: float) -> None:
        """Learn from a request taken from the queue."""
        if raw_s > MIN_SLACK_S:
            self._bias.add(min(MAX_BIAS, actual_s / raw_s))

    def saw_overdue(
        self, raw_s: float, waited_s: float, spare_s: float
    ) -> None:
        """Learn from a request given up after it was let in.

        Without it only those that made it would be learned from, and
        under saturation they say that all waits are short.
        """
        self.saw_wait(raw_s, waited_s * OVERDUE_FACTOR)
        self._error.add(max(0.0, spare_s))

    def saw_first_token(self, predicted_s: float, actual_s: float) -> None:
        """Learn from a first token; only lateness asks for a margin."""
        self._error.add(max(0.0, actual_s - predicted_s))

    def saw_service(self, predicted_s: float, actual_s: float) -> None:
        """Learn from the part after the queue."""
        self.service_error.add(max(0.0, actual_s - predicted_s))
