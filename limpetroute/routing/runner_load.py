"""What this host knows of one runner's load and health."""

import dataclasses
import math

# A runner that failed is left alone for this long; after each further
# failure for twice as long. Short, as one reset may be chance and a
# crashed runner is back within seconds.
FIRST_REST_S = 0.5
LONGEST_REST_S = 8.0
# One reset may be chance; this many failures in a row, without an
# answer between them, are taken for a runner that is gone.
GONE_AFTER = 2
# A stream lasts some seconds: what the leader said of a runner's streams
# is mostly true for this long.
HEARD_VALID_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class RunnerLoad:
    """What this host knows of one runner's load and health.

    Parameters
    ----------
    requests : int
        Requests of this host that it works on.
    tokens : int
        Tokens of KV memory that these hold or will hold.
    failures : int
        Failures in a row.
    ejected_until_s : float
        Time before which it is only used if there is no other.
    answer_s : float
        Smoothed time of its plain answers; 0 while unknown.
    failing_since_s : float
        Time of the first of the failures in a row.
    limit_per_s : float or None
        Requests a second that it takes from all hosts together, as its
        last answer here says.
    limited_until_s : float
        Time before which nothing may be sent within that limit.
    invalid_limit : str
        The last text in place of a limit that was none.
    fleet_streams, fleet_streams_received_s : int, float
        Streams of all hosts there, as the leader said last, and when.
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
        """Count a failure and leave the runner alone for a while."""
        if not self.failures:
            self.failing_since_s = now_s
        rest_s = min(FIRST_REST_S * 2**self.failures, LONGEST_REST_S)
        self.failures += 1
        self.ejected_until_s = now_s + rest_s

    def note_success(self, answer_s: float) -> None:
        """Count a good answer and its time."""
        self.failures = 0
        self.ejected_until_s = 0.0
        if not self.answer_s:
            self.answer_s = answer_s
        self.answer_s += (answer_s - self.answer_s) / 8

    def gone_s(self, now_s: float) -> float:
        """Return for how long the runner has seemed gone; 0 if it has not."""
        if self.failures < GONE_AFTER:
            return 0.0
        return now_s - self.failing_since_s

    def note_fleet_streams(self, count: int, now_s: float) -> None:
        """Take note of how many streams of all hosts the runner has."""
        self.fleet_streams = count
        self.fleet_streams_received_s = now_s

    def seems_full(self, slots: int, now_s: float) -> bool:
        """Return whether other hosts' streams leave no slot, as last heard."""
        heard_s = now_s - self.fleet_streams_received_s
        return heard_s < HEARD_VALID_S and self.fleet_streams >= slots

    def is_limited(self, now_s: float) -> bool:
        """Return whether the runner takes no request now."""
        return now_s < self.limited_until_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the runner is left alone."""
        return now_s < self.ejected_until_s
