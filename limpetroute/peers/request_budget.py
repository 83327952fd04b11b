"""The one budget of time and tries that travels with a request."""

import dataclasses
import typing

__all__ = ['RequestBudget']

DEADLINE_HEADER = 'Limpetroute-Deadline-Ms'
ATTEMPTS_HEADER = 'Limpetroute-Attempts-Left'
MAX_MS = 86_400_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestBudget:
    """What is left of a request's time and tries.

    Each layer that retries takes from the same budget; retries that
    were counted by each layer for itself would multiply. Time travels
    as what is left, as the clocks of two hosts do not agree.

    Parameters
    ----------
    until_s : float
        When the request must have its answer, on this host's clock.
    attempts_left : int
        Tries that are left, over all layers and hosts.
    """

    until_s: float
    attempts_left: int

    def left_s(self, now_s: float) -> float:
        """Return the time left, at least 0."""
        return max(0.0, self.until_s - now_s)

    def may_try(self, now_s: float) -> bool:
        """Whether one more try is allowed."""
        return self.attempts_left > 0 and self.left_s(now_s) > 0

    def after_try(self) -> 'RequestBudget':
        """Return the budget with one try taken.

        Raises
        ------
        ValueError
            If none is left.
        """
        if self.attempts_left < 1:
            raise ValueError(f'no attempts left: {self.attempts_left!r}')
        return dataclasses.replace(self, attempts_left=self.attempts_left - 1)

    def headers(self, now_s: float) -> dict[str, str]:
        """Return the headers that carry it to the next host."""
        left_ms = int(self.left_s(now_s) * 1000)
        return {
            DEADLINE_HEADER: str(left_ms),
            ATTEMPTS_HEADER: str(self.attempts_left),
        }

    @classmethod
    def from_headers(
        cls,
        headers: typing.Mapping[str, str],
        *,
        now_s: float,
        most: 'RequestBudget',
    ) -> 'RequestBudget':
        """Read it, and never allow more than ``most``.

        A header that is no number counts as absent: a request is not
        lost for it, and gains nothing by it.
        """
        left_ms = _number(headers.get(DEADLINE_HEADER), MAX_MS)
        attempts = _number(headers.get(ATTEMPTS_HEADER), most.attempts_left)
        return cls(
            until_s=min(most.until_s, now_s + left_ms / 1000),
            attempts_left=min(most.attempts_left, attempts),
        )


def _number(text: str | None, default: int) -> int:
    if text is None or not (text.isascii() and text.isdigit()):
        return default
    return min(int(text[:12]), MAX_MS)
