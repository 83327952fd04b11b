"""Decides whether a request is retried after a send to a runner."""

import dataclasses
import enum

from limpetroute.routing import send_result

# A retry with less time than this cannot be answered in time: the
# shortest plain calls take 45 ms, and a runner stops at the deadline.
MIN_RETRY_TIME_S = 0.06


class Step(enum.StrEnum):
    """What the router does after a send.

    ``RELAY`` passes the runner's response on, and ``RETRY`` sends the
    request again. ``REFUSE`` tells the caller that the request did not
    run and will not run; after ``FAIL`` and ``EXPIRE`` it may have run.
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
        Whether the request may have run in an earlier send.
    sends : int
        Sends so far that reached a runner.
    max_sends : int
        Most sends to runners that the route allows.
    remaining_s : float
        Time left until the caller's deadline or the route's timeout.
    """

    repeatable: bool
    result: send_result.SendResult
    ran_before: bool
    sends: int
    max_sends: int
    remaining_s: float


def next_step(context: RetryContext) -> Step:
    """Return the step that follows a send.

    `RETRY` also requires that the retry budget allows it and that there is
    another runner; otherwise the step is that of `without_retry`.
    """
    if context.result is send_result.SendResult.ANSWERED:
        return Step.RELAY
    if context.remaining_s > MIN_RETRY_TIME_S and _may_retry(context):
        return Step.RETRY
    return without_retry(context)


def without_retry(context: RetryContext) -> Step:
    """Return the step that ends a request without a retry."""
    result = context.result
    if result is send_result.SendResult.FAILED:
        return Step.RELAY
    if result.is_known_not_run and not context.ran_before:
        return Step.REFUSE
    if result is send_result.SendResult.TIMED_OUT:
        return Step.EXPIRE
    return Step.FAIL


def _may_retry(context: RetryContext) -> bool:
    # Only sends that reached a runner are counted in `sends`.
    if not context.result.reached_runner:
        return context.sends < context.max_sends
    if context.sends >= context.max_sends:
        return False
    if context.result.is_known_not_run:
        return True
    # After any other result the runner may have run the request.
    return context.repeatable
