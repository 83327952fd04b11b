"""Predicts how long each part of a request takes, and corrects itself.

Load pattern: any; admission, placement and retries all ask "when would
the first token come?". Without learned figures a router must be told
each runner's speed, and a runner that slows down is found out only by
missed targets. The weights: a fifth for what a runner does on every
prompt (about ten samples follow a change within a second at today's
load), a twentieth for lengths of answers, which vary by request.
"""

from limpetroute.decisions import least_of
from limpetroute.decisions import smoothed

PRIOR_PREFILL_S_PER_TOKEN = 1 / 20000
PRIOR_OVERHEAD_S = 0.004
PRIOR_GAP_S = 0.02
PRIOR_ANSWER_SHARE = 0.6
RUNNER_WEIGHT = 0.2
ANSWER_WEIGHT = 0.05
MIN_SAMPLE_TOKENS = 200
WINDOW = 16
ALL_WINDOW = 64
ERROR_WEIGHT = 0.05


class Predictor:
    """Learns runners' speeds and the length of answers."""

    __slots__ = (
        '_all_gaps',
        '_all_prefill',
        '_answers',
        '_gaps',
        '_prefill',
        '_waits',
        'error',
    )

    def __init__(self) -> None:
        self._all_prefill = least_of.LeastOf(
            prior=PRIOR_PREFILL_S_PER_TOKEN, window=ALL_WINDOW
        )
        self._all_gaps = _speed(PRIOR_GAP_S)
        self._prefill: dict[str, least_of.LeastOf] = {}
        self._gaps: dict[str, smoothed.Smoothed] = {}
        self._waits: dict[str, smoothed.Smoothed] = {}
        self._answers: dict[str, smoothed.Smoothed] = {}
        self.error = smoothed.Smoothed(prior=0.0, weight=ERROR_WEIGHT)

    def forget(self, runner_id: str) -> None:
        """Drop what was learned of a runner that is gone."""
        self._prefill.pop(runner_id, None)
        self._gaps.pop(runner_id, None)
        self._waits.pop(runner_id, None)

    def prefill_s(self, runner_id: str, tokens: float) -> float:
        """Time that a runner reads ``tokens`` uncached tokens."""
        known = self._prefill.get(runner_id, self._all_prefill)
        return PRIOR_OVERHEAD_S + tokens * known.value

    def typical_prefill_s(self, tokens: float) -> float:
        """Time that some runner reads ``tokens``."""
        return PRIOR_OVERHEAD_S + tokens * self._all_prefill.value

    @property
    def reads(self) -> dict[str, least_of.LeastOf]:
        """Seconds for each token read, by runner."""
        return self._prefill

    @property
    def gaps(self) -> dict[str, smoothed.Smoothed]:
        """Seconds between tokens, by runner."""
        return self._gaps

    def wait_s(self, runner_id: str) -> float:
        """Time that work of other hosts makes ours wait there."""
        known = self._waits.get(runner_id)
        return known.value if known else 0.0

    def wait_margin_s(self, runner_id: str) -> float:
        """Deviation of that wait."""
        known = self._waits.get(runner_id)
        return known.deviation if known else 0.0

    def saw_prefill(self, runner_id: str, tokens: int, took_s: float) -> None:
        """Learn from a prompt read.

        The time is explained by the reading and the work of other
        hosts. Reading is the least of the last times
        for each token, as a queue only ever adds; the rest is put down
        to the others.
        """
        if tokens >= MIN_SAMPLE_TOKENS:
            known = self._prefill.setdefault(
                runner_id,
                least_of.LeastOf(prior=self._all_prefill.value, window=WINDOW),
            )
            known.add(max(0.0, took_s - PRIOR_OVERHEAD_S) / tokens)
            self._all_prefill.add(known.value)
        wait = self._waits.setdefault(
            runner_id, smoothed.Smoothed(prior=0.0, weight=RUNNER_WEIGHT)
        )
        wait.add(max(0.0, took_s - self.prefill_s(runner_id, tokens)))

    def decayed_wait(self, runner_id: str) -> None:
        """Believe less in the others' work where nothing was sent."""
        known = self._waits.get(runner_id)
        if known is not None:
            known.value *= 0.9

    def gap_s(self, runner_id: str) -> float:
        """Time between tokens at a runner."""
        return self._gaps.get(runner_id, self._all_gaps).value

    def saw_gap(self, runner_id: str, gap_s: float) -> None:
        """Learn from tokens that came."""
        self._gaps.setdefault(runner_id, _speed(gap_s)).add(gap_s)
        self._all_gaps.add(gap_s)

    def answer_tokens(self, model: str, max_tokens: int) -> float:
        """Return the expected length of an answer."""
        known = self._answers.get(model)
        share = known.value if known else PRIOR_ANSWER_SHARE
        return max(1.0, share * max_tokens)

    def saw_answer(self, model: str, max_tokens: int, tokens: int) -> None:
        """Learn from a whole answer."""
        known = self._answers.setdefault(
            model,
            smoothed.Smoothed(prior=PRIOR_ANSWER_SHARE, weight=ANSWER_WEIGHT),
        )
        known.add(tokens / max(1, max_tokens))

    def hold_s(self, model: str, max_tokens: int) -> float:
        """Time that a request holds a decode slot."""
        return self.answer_tokens(model, max_tokens) * self._all_gaps.value


def _speed(prior: float) -> smoothed.Smoothed:
    return smoothed.Smoothed(prior=prior, weight=RUNNER_WEIGHT)
