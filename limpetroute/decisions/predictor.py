"""Learns how long each stage of a request takes.

Load pattern: any; admission, placement and retries all need the time to
the first token. Without learned estimates the speed of each runner has
to be configured, and a runner that slows down shows only in missed
targets. A sample has a weight of a fifth for times of a runner, so that
about ten samples, a second's worth at today's load, follow a change. It
has a weight of a twentieth for lengths of answers, which vary by
request.
"""

from limpetroute.decisions import smoothed
from limpetroute.decisions import window_minimum

PRIOR_PREFILL_S_PER_TOKEN = 1 / 20000
PRIOR_OVERHEAD_S = 0.004
PRIOR_GAP_S = 0.02
PRIOR_ANSWER_SHARE = 0.6
RUNNER_WEIGHT = 0.2
ANSWER_WEIGHT = 0.05
MIN_SAMPLE_TOKENS = 200
WINDOW = 16
FLEET_WINDOW = 64
ERROR_WEIGHT = 0.05


class Predictor:
    """Estimates the speed of runners and the length of answers."""

    __slots__ = (
        '_answers',
        '_fleet_gap',
        '_fleet_prefill',
        '_foreign_waits',
        '_gaps',
        '_prefill',
        'error',
    )

    def __init__(self) -> None:
        self._fleet_prefill = window_minimum.WindowMinimum(
            prior=PRIOR_PREFILL_S_PER_TOKEN, window=FLEET_WINDOW
        )
        self._fleet_gap = _new_gap(PRIOR_GAP_S)
        self._prefill: dict[str, window_minimum.WindowMinimum] = {}
        self._gaps: dict[str, smoothed.Smoothed] = {}
        self._foreign_waits: dict[str, smoothed.Smoothed] = {}
        self._answers: dict[str, smoothed.Smoothed] = {}
        self.error = smoothed.Smoothed(prior=0.0, weight=ERROR_WEIGHT)

    def remove_runner(self, runner_id: str) -> None:
        """Drop the estimates of a runner that is gone or restarted."""
        self._prefill.pop(runner_id, None)
        self._gaps.pop(runner_id, None)
        self._foreign_waits.pop(runner_id, None)

    def prefill_s(self, runner_id: str, tokens: float) -> float:
        """Time that a runner takes to prefill uncached tokens."""
        estimate = self._prefill.get(runner_id, self._fleet_prefill)
        return PRIOR_OVERHEAD_S + tokens * estimate.value

    def typical_prefill_s(self, tokens: float) -> float:
        """Time that a typical runner takes to prefill ``tokens``."""
        return PRIOR_OVERHEAD_S + tokens * self._fleet_prefill.value

    @property
    def prefill_s_per_token(self) -> dict[str, window_minimum.WindowMinimum]:
        """Seconds per prefilled token, by runner."""
        return self._prefill

    @property
    def token_gaps(self) -> dict[str, smoothed.Smoothed]:
        """Seconds between tokens, by runner."""
        return self._gaps

    def foreign_wait_s(self, runner_id: str) -> float:
        """Wait at a runner caused by the work of other hosts."""
        estimate = self._foreign_waits.get(runner_id)
        return estimate.value if estimate else 0.0

    def foreign_wait_deviation_s(self, runner_id: str) -> float:
        """Mean deviation of the wait caused by other hosts."""
        estimate = self._foreign_waits.get(runner_id)
        return estimate.deviation if estimate else 0.0

    def record_prefill(
        self, runner_id: str, tokens: int, took_s: float
    ) -> None:
        """Record the time of a prefill.

        The time consists of the prefill itself and a wait for the work
        of other hosts. The prefill is estimated by the minimum of the
        last times per token, because waiting only adds time; the rest
        counts as the wait for other hosts.
        """
        if tokens >= MIN_SAMPLE_TOKENS:
            estimate = self._prefill.setdefault(
                runner_id,
                window_minimum.WindowMinimum(
                    prior=self._fleet_prefill.value, window=WINDOW
                ),
            )
            estimate.add(max(0.0, took_s - PRIOR_OVERHEAD_S) / tokens)
            self._fleet_prefill.add(estimate.value)
        wait = self._foreign_waits.setdefault(
            runner_id, smoothed.Smoothed(prior=0.0, weight=RUNNER_WEIGHT)
        )
        wait.add(max(0.0, took_s - self.prefill_s(runner_id, tokens)))

    def decay_wait(self, runner_id: str) -> None:
        """Reduce the estimated wait at a runner without recent samples."""
        estimate = self._foreign_waits.get(runner_id)
        if estimate is not None:
            estimate.value *= 0.9

    def token_gap_s(self, runner_id: str) -> float:
        """Time between tokens at a runner."""
        return self._gaps.get(runner_id, self._fleet_gap).value

    def record_gap(self, runner_id: str, gap_s: float) -> None:
        """Record the time between tokens."""
        self._gaps.setdefault(runner_id, _new_gap(gap_s)).add(gap_s)
        self._fleet_gap.add(gap_s)

    def answer_tokens(self, model: str, max_tokens: int) -> float:
        """Return the expected length of an answer."""
        estimate = self._answers.get(model)
        share = estimate.value if estimate else PRIOR_ANSWER_SHARE
        return max(1.0, share * max_tokens)

    def record_answer(self, model: str, max_tokens: int, tokens: int) -> None:
        """Record the length of a completed answer."""
        estimate = self._answers.setdefault(
            model,
            smoothed.Smoothed(prior=PRIOR_ANSWER_SHARE, weight=ANSWER_WEIGHT),
        )
        estimate.add(tokens / max(1, max_tokens))

    def hold_s(self, model: str, max_tokens: int) -> float:
        """Time that a request holds a decode slot."""
        return self.answer_tokens(model, max_tokens) * self._fleet_gap.value


def _new_gap(prior: float) -> smoothed.Smoothed:
    return smoothed.Smoothed(prior=prior, weight=RUNNER_WEIGHT)
