"""What follows a send to a runner: an answer, or another send."""

import dataclasses
import enum

from limpetroute.routing import send_result

# A second send with less time than this cannot be answered in time: the
# shortest plain calls take 45 ms, and a runner stops at the deadline.
LEAST_TIME_S = 0.06


class Step(enum.StrEnum):
    """What a caller gets.

    ``RELAY`` is the runner's own answer, ``RETRY`` another send.
    ``REFUSE`` promises that the request did not run and will not;
    ``FAIL`` and ``EXPIRE`` promise nothing.
    """

    RELAY = 'relay'
    RETRY = 'again'
    REFUSE = 'refuse'
    FAIL = 'fail'
    EXPIRE = 'expire'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryContext:
    """What the next step depends on.

    Parameters
    ----------
    repeatable : bool
        Whether the request may run more than once.
    result : SendResult
        How the last send ended.
    ran_before : bool
        Whether an earlier send may have run.
    sends : int
        Sends so far that reached a runner.
    max_sends : int
        The route's bound of these.
    remaining_s : float
        Time left until the caller's deadline or the route's timeout.
    """

    repeatable: bool
    result: send_result.SendResult
    ran_before: bool
    sends: int
    max_sends: int
    remaining_s: float


def next_step(now: RetryContext) -> Step:
    """Return what follows a send.

    `RETRY` is subject to the budget of second sends and to there being
    another runner; `without_retry` says what a caller gets otherwise.
    """
    if now.result is send_result.SendResult.ANSWERED:
        return Step.RELAY
    if now.remaining_s > LEAST_TIME_S and _may_send_again(now):
        return Step.RETRY
    return without_retry(now)


def without_retry(now: RetryContext) -> Step:
    """Return what a caller gets if nothing more is sent."""
    result = now.result
    if result is send_result.SendResult.FAILED:
        return Step.RELAY
    if result.is_known_not_run and not now.ran_before:
        return Step.REFUSE
    if result is send_result.SendResult.TIMED_OUT:
        return Step.EXPIRE
    return Step.FAIL


def _may_send_again(now: RetryContext) -> bool:
    # A connect that failed reached nobody and counts for nothing.
    if now.result is send_result.SendResult.NOT_SENT:
        return now.sends < now.max_sends
    if now.sends >= now.max_sends:
        return False
    if now.result.is_known_not_run:
        return True
    # Whatever else came of it, the runner may have run it.
    return now.repeatable
