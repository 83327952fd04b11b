"""Calls to plain services that may be sent more than once."""

import asyncio
import dataclasses

from limpetroute.entry.runs import retry_budget
from limpetroute.entry.runs import send_guard
from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call
from limpetroute.runners import service_pool
from limpetroute.telemetry import meters as meters_module

MAX_TRIES = 3
RETRYABLE_STATUSES = frozenset({502, 503, 504})


class RepeatableCalls:
    """Retries calls on other runners.

    The retry budget, ``MAX_TRIES`` and the call's time limit bound the
    retries.

    Parameters
    ----------
    pool : ServicePool
        Sends calls.
    meters : Meters
        Counts retries.
    """

    __slots__ = ('_budget', '_meters', '_pool')

    def __init__(
        self,
        *,
        pool: service_pool.ServicePool,
        meters: meters_module.Meters,
    ) -> None:
        self._pool = pool
        self._meters = meters
        self._budget = retry_budget.RetryBudget()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(pool={self._pool!r})'

    async def call(
        self, call: service_call.ServiceCall
    ) -> service_outcome.ServiceOutcome:
        """Send a call, and retry it on other runners if it fails."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + call.timeout_s
        guard = send_guard.SendGuard()
        tried_ids: set[str] = set()
        last: service_call.ServiceResult | None = None
        self._budget.note_first_try()
        while len(tried_ids) < MAX_TRIES:
            remaining_s = deadline_s - loop.time()
            runner = self._pool.pick(call.service, tried_ids)
            if runner is None or remaining_s <= 0:
                break
            if tried_ids and not self._budget.take():
                break
            if tried_ids:
                self._meters.retried('service')
            tried_ids.add(runner.runner_id)
            guard.mark_sending()
            last = await self._pool.send(
                runner, dataclasses.replace(call, timeout_s=remaining_s)
            )
            if isinstance(last, service_call.ServiceReply):
                if last.status not in RETRYABLE_STATUSES:
                    break
                continue
            if was_not_run(last):
                guard.mark_refused()
        return _outcome(last, guard)


def was_not_run(
    result: service_call.ServiceRefused | service_call.ServiceFailed,
) -> bool:
    """Whether a result proves that the call did not run."""
    if isinstance(result, service_call.ServiceRefused):
        return True
    return not result.sent


def _outcome(
    last: service_call.ServiceResult | None, guard: send_guard.SendGuard
) -> service_outcome.ServiceOutcome:
    if isinstance(last, service_call.ServiceReply):
        return service_outcome.Answered(reply=last)
    proof = guard.not_run_proof()
    reason = 'no_runner' if last is None else last.reason
    if proof is not None:
        return service_outcome.NotRun(proof=proof, reason=reason)
    timed_out = isinstance(last, service_call.ServiceFailed) and last.timed_out
    return service_outcome.Unknown(reason=reason, timed_out=timed_out)
