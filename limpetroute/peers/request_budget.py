"""The budget of time and attempts that is passed on with a request."""

import dataclasses
import typing

__all__ = ['RequestBudget']

DEADLINE_HEADER = 'Limpetroute-Deadline-Ms'
ATTEMPTS_HEADER = 'Limpetroute-Attempts-Left'
MAX_MS = 86_400_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestBudget:
    """Remaining time and attempts of a request.

    All layers that retry share one budget; if each layer counted its own
    retries, their numbers would multiply. The headers carry the remaining
    time rather than a deadline, because clocks of two hosts differ.

    Parameters
    ----------
    until_s : float
        Deadline of the request's answer, on this host's clock.
    attempts_left : int
        Remaining attempts over all layers and hosts.
    """

    until_s: float
    attempts_left: int

    def remaining_s(self, now_s: float) -> float:
        """Return the time left, at least 0."""
        return max(0.0, self.until_s - now_s)

    def may_try(self, now_s: float) -> bool:
        """Whether one more attempt is allowed."""
        return self.attempts_left > 0 and self.remaining_s(now_s) > 0

    def after_try(self) -> 'RequestBudget':
        """Return the budget with one attempt taken off.

        Raises
        ------
        ValueError
            If no attempt is left.
        """
        if self.attempts_left < 1:
            raise ValueError(f'no attempts left: {self.attempts_left!r}')
        return dataclasses.replace(self, attempts_left=self.attempts_left - 1)

    def headers(self, now_s: float) -> dict[str, str]:
        """Return the headers that carry the budget to the next host."""
        remaining_ms = int(self.remaining_s(now_s) * 1000)
        return {
            DEADLINE_HEADER: str(remaining_ms),
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
        """Read the budget from headers, limited to ``most``.

        A header that is not a number counts as absent, so a malformed
        header neither fails a request nor extends its budget.
        """
        remaining_ms = _parse_number(headers.get(DEADLINE_HEADER), MAX_MS)
        attempts = _parse_number(
            headers.get(ATTEMPTS_HEADER), most.attempts_left
        )
        return cls(
            until_s=min(most.until_s, now_s + remaining_ms / 1000),
            attempts_left=min(most.attempts_left, attempts),
        )


def _parse_number(text: str | None, default: int) -> int:
    if text is None or not (text.isascii() and text.isdigit()):
        return default
    return min(int(text[:12]), MAX_MS)
