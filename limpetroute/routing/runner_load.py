"""Load and health of a runner, as this host sees them."""

import dataclasses
import math

# Ejection time after a runner's first failure; each further failure in a
# row doubles it. The first is short because a single connection reset may
# be chance, and because a crashed runner is back within seconds.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# A runner is presumed gone after this many failures in a row. A single
# connection reset may be chance.
FAILURES_UNTIL_GONE = 2
# Time for which the leader's count of a runner's streams is used. A stream
# lasts a few seconds, so the count is mostly still correct.
FLEET_STREAMS_VALID_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class RunnerLoad:
    """Load and health of a runner, as this host sees them.

    Parameters
    ----------
    requests : int
        Requests of this host that are at the runner.
    tokens : int
        Tokens of KV memory that these requests use or will use.
    failures : int
        Failures in a row.
    ejected_until_s : float
        Time until which it is used only if there is no other runner.
    answer_s : float
        Smoothed time to its plain answers; 0 while unknown.
    failing_since_s : float
        Time of the first of the failures in a row.
    limit_per_s : float or None
        Requests per second that it accepts from all hosts together,
        according to its last response to this host.
    limited_until_s : float
        Time until which that limit allows no request.
    invalid_limit : str
        Last text of a limit that could not be parsed.
    fleet_streams, fleet_streams_received_s : int, float
        Streams of all hosts at the runner, as last reported by the
        leader, and when the report was received.
    """

    requests: int = 0
    tokens: int = 0
    failures: int = 0
    ejected_until_s: float = 0.0
    answer_s: float = 0.0
    failing_since_s: float = 0.0
    limit_per_s: float | None = None
    limited_until_s: float = 0.0
    invalid_limit: str = ''
    fleet_streams: int = 0
    fleet_streams_received_s: float = -math.inf

    def note_failure(self, now_s: float) -> None:
        """Count a failure and eject the runner for a while."""
        if not self.failures:
            self.failing_since_s = now_s
        ejection_s = min(FIRST_EJECTION_S * 2**self.failures, MAX_EJECTION_S)
        self.failures += 1
        self.ejected_until_s = now_s + ejection_s

    def note_success(self, answer_s: float) -> None:
        """Record a successful answer and the time that it took."""
        self.failures = 0
        self.ejected_until_s = 0.0
        if not self.answer_s:
            self.answer_s = answer_s
        self.answer_s += (answer_s - self.answer_s) / 8

    def gone_s(self, now_s: float) -> float:
        """Return for how long the runner has been presumed gone, or 0."""
        if self.failures < FAILURES_UNTIL_GONE:
            return 0.0
        return now_s - self.failing_since_s

    def note_fleet_streams(self, count: int, now_s: float) -> None:
        """Record the number of streams of all hosts at the runner."""
        self.fleet_streams = count
        self.fleet_streams_received_s = now_s

    def seems_full(self, slots: int, now_s: float) -> bool:
        """Return whether the streams of all hosts fill the runner's slots.

        A report of the leader that is too old is not used.
        """
        age_s = now_s - self.fleet_streams_received_s
        return age_s < FLEET_STREAMS_VALID_S and self.fleet_streams >= slots

    def is_limited(self, now_s: float) -> bool:
        """Return whether the rate limit allows no request now."""
        return now_s < self.limited_until_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the runner is ejected."""
        return now_s < self.ejected_until_s
