"""What the leader knows about a plain runner."""

import dataclasses
import math

from limpetroute.routing import runner_info
from limpetroute.routing import runner_load
from limpetroute.routing import send_result

# From a runner's response to its next request: to the host, a return to the
# leader, a grant to a host, and a new connection, each a few milliseconds.
MESSAGES_S = 0.008
# In a burst, busy hosts and a busy leader take longer, and the runner would be
# idle meanwhile. A lost message does not count in full.
MAX_MESSAGES_S = 0.1
# Time for which the limit of a runner is lowered after it has rejected a
# request, and to which share of what it had then. Queues of a few requests
# are served within this time.
LOWERED_S = 0.5
LOWERED_SHARE = 0.75
# A runner that is not measured for this long is tried again.
STALE_S = 1.0
# Least weight of an answer in the mean. Runners slow down for 600 ms, in
# which they give some tens of answers. The weight grows with the time since
# the last answer, so that a runner that is hardly used is measured as well.
ANSWER_WEIGHT = 1 / 8
# Error responses in a row that count as a failure of the runner. With one
# error in seven calls, this many in a row are chance once in 300 calls.
ERRORS_UNTIL_FAILURE = 3
# Time after which a slot that was not returned is free, as a multiple of the
# mean time to an answer. Runners that are slow at times take 2.5 times that.
EXPIRY_FACTOR = 4.0
MIN_EXPIRY_S = 0.2
MAX_EXPIRY_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeasedSlot:
    """A slot that is in use.

    Parameters
    ----------
    request_id : str
        The request that has it.
    runner_id : str
        The runner.
    host_id, host_started_ms : str, int
        The incarnation of the host that has sent the request.
    granted_s : float
        When it was granted.
    expires_s : float
        When it ends without a return.
    beside : int
        Requests at the runner, including this one.
    """

    request_id: str
    runner_id: str
    host_id: str
    host_started_ms: int
    granted_s: float
    expires_s: float
    beside: int


class PlainRunnerState:
    """What the leader knows about one incarnation of a plain runner.

    Parameters
    ----------
    info : RunnerInfo
        What the runner has announced.
    """

    __slots__ = (
        '_answer_s',
        '_answered_s',
        '_errors',
        '_health',
        '_last_failure_s',
        '_lowered_at_s',
        '_lowered_limit',
        '_measured_s',
        '_messages_s',
        'info',
        'slots',
    )

    def __init__(self, *, info: runner_info.RunnerInfo) -> None:
        self.info = info
        # By request, in the order of the grants.
        self.slots: dict[str, LeasedSlot] = {}
        self._health = runner_load.RunnerLoad()
        # Error responses in a row.
        self._errors = 0
        self._answer_s = 0.0
        # When the latest of the answered requests was sent.
        self._answered_s = -math.inf
        self._measured_s = -math.inf
        self._messages_s = MESSAGES_S
        self._last_failure_s = -math.inf
        self._lowered_limit = 0
        self._lowered_at_s = -math.inf

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(runner={self.info.runner_id!r}, '
            f'slots={len(self.slots)!r})'
        )

    def base_limit(self, limit: float, now_s: float) -> int:
        """Return the number of requests that it processes at once.

        Parameters
        ----------
        limit : float
            Its limit as far as other parts know; at least one request is
            allowed, as the runner would never be tried otherwise.
        now_s : float
            Monotonic time in seconds.
        """
        whole = int(limit) if limit < self.info.slots else self.info.slots
        if now_s - self._lowered_at_s < LOWERED_S:
            whole = min(whole, self._lowered_limit)
        return max(1, whole)

    def full_limit(self, base: int, pool_answer_s: float) -> int:
        """Return a limit with what finishes while messages are on their way.

        A runner whose limit is lowered gets nothing beyond it.
        """
        if base < self.info.slots:
            return base
        return base + min(
            base,
            math.ceil(base * self._messages_s / self.answer_s(pool_answer_s)),
        )

    def answer_s(self, pool_answer_s: float) -> float:
        """Return its mean time to an answer, or that of the pool."""
        return self._answer_s or pool_answer_s

    def expected_s(
        self, base: int, pool_answer_s: float, now_s: float
    ) -> float:
        """Return the expected time to the answer of one more request."""
        answer_s = self._answer_s or pool_answer_s
        if self.slots:
            oldest = next(iter(self.slots.values()))
            answer_s = max(answer_s, now_s - oldest.granted_s)
        elif now_s - self._measured_s > STALE_S:
            answer_s = min(answer_s, pool_answer_s)
        return answer_s * (1.0 + len(self.slots) / base)

    def expiry_s(self, pool_answer_s: float) -> float:
        """Return after which time a slot is free without a return."""
        usual_s = max(self.answer_s(pool_answer_s), pool_answer_s)
        return min(MAX_EXPIRY_S, max(MIN_EXPIRY_S, EXPIRY_FACTOR * usual_s))

    def is_ejected(self, now_s: float) -> bool:
        """Return whether it is ejected because of failures."""
        return self._health.is_ejected(now_s)

    @property
    def has_failed_last(self) -> bool:
        """Whether its last answer was a failure."""
        return self._health.failures > 0

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._health.failures

    def note_answer(
        self, slot: LeasedSlot, took_s: float, now_s: float
    ) -> bool:
        """Record an answer; return whether this ends a row of failures."""
        ends_ejection = self._health.failures > 0
        self._answered_s = max(self._answered_s, slot.granted_s)
        messages_s = min(MAX_MESSAGES_S, now_s - slot.granted_s - took_s)
        self._messages_s += (messages_s - self._messages_s) * ANSWER_WEIGHT
        self._messages_s = max(MESSAGES_S, self._messages_s)
        self._health.note_success(took_s)
        self._errors = 0
        self.note_time(took_s, now_s)
        return ends_ejection

    def note_time(self, took_s: float, now_s: float) -> None:
        """Record the time of a request."""
        if not self._answer_s:
            self._answer_s = took_s
        weight = max(ANSWER_WEIGHT, min(1.0, now_s - self._measured_s))
        self._answer_s += (took_s - self._answer_s) * weight
        self._measured_s = now_s

    def note_given_up(self, took_s: float, now_s: float) -> None:
        """Record a request without an answer, which would take longer."""
        if took_s > self._answer_s:
            self.note_time(took_s, now_s)

    def note_expired(self, slot: LeasedSlot, now_s: float) -> None:
        """Record a slot that was not returned.

        If the runner has answered a later request, the return was lost.
        Otherwise the runner may be slow, which counts as a time.
        """
        if slot.granted_s >= self._answered_s:
            self.note_given_up(now_s - slot.granted_s, now_s)

    def note_failure(self, slot: LeasedSlot | None, now_s: float) -> bool:
        """Record a failure; return whether it ejects the runner.

        Requests that were there at the time of the last counted failure
        most likely failed with it, and are not counted again.
        """
        if slot is not None and slot.granted_s <= self._last_failure_s:
            return False
        self._last_failure_s = now_s
        self._health.note_failure(now_s)
        return True

    def note_error(self, took_s: float, now_s: float) -> bool:
        """Record an error response; return whether it is a failure.

        Services answer a part of their calls with errors, and all hosts' calls
        are counted here.
        """
        self._errors += 1
        self.note_time(took_s, now_s)
        return self._errors >= ERRORS_UNTIL_FAILURE

    def note_rejected(self, slot: LeasedSlot, now_s: float) -> int | None:
        """Lower the limit of a runner that rejected a request.

        Returns the new limit, or None if the limit was lowered after the
        request was sent.
        """
        if slot.granted_s <= self._lowered_at_s:
            return None
        self._lowered_limit = max(1, int(slot.beside * LOWERED_SHARE))
        self._lowered_at_s = now_s
        return self._lowered_limit


def is_failure(result: str) -> bool:
    """Return whether a result counts against a runner's health."""
    return result in (
        send_result.SendResult.NOT_SENT,
        send_result.SendResult.MISDIRECTED,
        send_result.SendResult.FAILED,
        send_result.SendResult.BROKEN,
    )


def is_rejection(result: str) -> bool:
    """Return whether a runner had no capacity for a request."""
    return result in (
        send_result.SendResult.REFUSED,
        send_result.SendResult.SHED,
    )
