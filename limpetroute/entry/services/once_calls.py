"""Calls to plain services that must run at most once."""

import asyncio
import dataclasses
import logging

from limpetroute.control import claim_store
from limpetroute.entry.records import stored_reply
from limpetroute.entry.runs import send_guard
from limpetroute.entry.services import repeatable_calls
from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call
from limpetroute.runners import service_pool

LOG = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 5.0
SETTLE_TIMEOUT_S = 5.0
# Longest time that an answer is held back until its outcome is stored,
# so that an unreachable control log does not delay answers for longer.
MAX_STORE_WAIT_S = 0.5
SETTLE_TRIES = 10
SETTLE_PAUSE_S = 0.2
MAX_TRIES = 3

Task = asyncio.Task[service_outcome.ServiceOutcome]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RunningCall:
    digest: str
    task: Task


class OnceCalls:
    """Makes at-most-once calls and stores their outcomes.

    A release confirmation that runs twice leads to a complaint to the
    regulator. The claim on the key is therefore in the control log
    before the first byte is sent, and a call that may have run is never
    sent again, even if its answer is lost. If the caller disconnects,
    the call still runs to its end and its answer is stored.

    Parameters
    ----------
    host_id : str
        Id of this host, which holds the claims.
    pool : ServicePool
        Sends calls.
    """

    __slots__ = ('_host_id', '_pool', '_running', '_settling')

    def __init__(
        self, *, host_id: str, pool: service_pool.ServicePool
    ) -> None:
        self._host_id = host_id
        self._pool = pool
        self._running: dict[tuple[str, str], _RunningCall] = {}
        self._settling: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(running={len(self._running)!r})'

    @property
    def tasks(self) -> set[asyncio.Task[object]]:
        """Tasks that must end before the process exits."""
        found: set[asyncio.Task[object]] = set(self._settling)
        found.update(item.task for item in self._running.values())
        return found

    async def call(
        self,
        *,
        claims: claim_store.ClaimStore | None,
        team: str,
        digest: str,
        call: service_call.ServiceCall,
        key_is_generated: bool,
        may_start: bool = True,
    ) -> service_outcome.ServiceOutcome:
        """Make a call, or return the outcome of an earlier one.

        Parameters
        ----------
        claims : ClaimStore or None
            Store for the claims; if None, nothing is sent.
        team : str
            The caller's team; keys are unique within a team.
        digest : str
            Digest of the service, method, path and body.
        call : ServiceCall
            The call.
        key_is_generated : bool
            Whether this host generated the key, so that no earlier call
            can have used it.
        may_start : bool
            Whether a call that was not made before may be sent.
        """
        claim_key = team, call.key
        running = self._running.get(claim_key)
        if running is None:
            if claims is None:
                return _not_claimed('no_control', 1.0, key_is_generated)
            task = asyncio.create_task(
                self._make(
                    claims, team, digest, call, key_is_generated, may_start
                )
            )
            running = _RunningCall(digest=digest, task=task)
            self._running[claim_key] = running
            task.add_done_callback(
                lambda _: self._running.pop(claim_key, None)
            )
        if running.digest != digest:
            return service_outcome.KeyReused()
        return await asyncio.shield(running.task)

    async def _make(
        self,
        claims: claim_store.ClaimStore,
        team: str,
        digest: str,
        call: service_call.ServiceCall,
        key_is_generated: bool,
        may_start: bool,
    ) -> service_outcome.ServiceOutcome:
        # The key is claimed even if the call will be refused for lack of
        # a runner: only the claim's result shows whether an earlier call
        # under the key ran.
        claim = await claims.claim(
            team=team,
            key=call.key,
            body_digest=digest,
            holder=self._host_id,
            timeout_s=CLAIM_TIMEOUT_S,
        )
        if isinstance(claim, claim_store.ClaimNotMade):
            return _not_claimed(
                claim.reason, claim.retry_after_s, key_is_generated
            )
        if isinstance(claim, claim_store.ClaimFound):
            return _stored_outcome(claim)
        got: service_call.ServiceResult | None = None
        guard = send_guard.SendGuard()
        if may_start:
            got = await self._send(call, claim.fence, guard)
        outcome = _outcome(got, guard, may_start=may_start)
        settling = self._settle(claims, team, call.key, outcome)
        if settling is not None:
            # A caller that has the answer may repeat the call at another
            # host, which finds the outcome only in the control log.
            await asyncio.wait({settling}, timeout=MAX_STORE_WAIT_S)
        return outcome

    async def _send(
        self,
        call: service_call.ServiceCall,
        fence: int,
        guard: send_guard.SendGuard,
    ) -> service_call.ServiceResult | None:
        """Try runners until one may have run the call."""
        tried: set[str] = set()
        got: service_call.ServiceResult | None = None
        while len(tried) < MAX_TRIES:
            runner = self._pool.pick(call.service, tried)
            if runner is None:
                break
            tried.add(runner.runner_id)
            guard.mark_sending()
            got = await self._pool.send(runner, call, fence=fence)
            if isinstance(got, service_call.ServiceReply):
                break
            if not repeatable_calls.was_not_run(got):
                break
            guard.mark_refused()
        return got

    def _settle(
        self,
        claims: claim_store.ClaimStore,
        team: str,
        key: str,
        outcome: service_outcome.ServiceOutcome,
    ) -> asyncio.Task[None] | None:
        """Start to store an outcome; return None if it is unknown."""
        if isinstance(outcome, service_outcome.Answered):
            reply = outcome.reply
            status, body = reply.status, stored_reply.encode(reply)
        elif isinstance(outcome, service_outcome.NotRun):
            status, body = stored_reply.NOT_SENT_STATUS, outcome.reason
        else:
            # The claim keeps no outcome, so later calls under the key are
            # answered as possibly run.
            return None
        task = asyncio.create_task(_settle(claims, team, key, status, body))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)
        return task


async def _settle(
    claims: claim_store.ClaimStore, team: str, key: str, status: int, body: str
) -> None:
    for _ in range(SETTLE_TRIES):
        done = await claims.settle(
            team=team,
            key=key,
            status=status,
            body=body,
            timeout_s=SETTLE_TIMEOUT_S,
        )
        if done:
            return
        await asyncio.sleep(SETTLE_PAUSE_S)
    LOG.warning('the outcome of an at-most-once call was not stored')


def _not_claimed(
    reason: str, retry_after_s: float, key_is_generated: bool
) -> service_outcome.NotRun | service_outcome.Unknown:
    """Return the outcome if the key could not be claimed.

    Nothing was sent now, but a call under a caller's own key may have
    run earlier on another host. A caller that receives ``not_run`` for
    it would repeat the release under a new key.
    """
    if not key_is_generated:
        return service_outcome.Unknown(
            reason=reason, retry_after_s=retry_after_s
        )
    return _not_run(reason, retry_after_s=retry_after_s)


def _not_run(
    reason: str, *, retry_after_s: float = 1.0, key_spent: bool = False
) -> service_outcome.NotRun:
    # A new guard gives the proof, because this host sent nothing for
    # this call.
    proof = send_guard.SendGuard().not_run_proof()
    assert proof is not None
    return service_outcome.NotRun(
        proof=proof,
        reason=reason,
        retry_after_s=retry_after_s,
        key_spent=key_spent,
    )


def _stored_outcome(
    claim: claim_store.ClaimFound,
) -> service_outcome.ServiceOutcome:
    if not claim.same_body:
        return service_outcome.KeyReused()
    if claim.status is None:
        return service_outcome.Unknown(reason='claimed_before')
    if claim.status == stored_reply.NOT_SENT_STATUS:
        return _not_run(claim.body, key_spent=True)
    try:
        return stored_reply.decode(claim.status, claim.body)
    except (KeyError, TypeError, ValueError):
        return service_outcome.Unknown(reason='stored_answer_unreadable')


def _outcome(
    got: service_call.ServiceResult | None,
    guard: send_guard.SendGuard,
    *,
    may_start: bool,
) -> service_outcome.ServiceOutcome:
    if isinstance(got, service_call.ServiceReply):
        return service_outcome.Answered(reply=got)
    reason = 'no_runner' if may_start else 'draining'
    if got is not None:
        reason = got.reason
    proof = guard.not_run_proof()
    if proof is not None:
        return service_outcome.NotRun(
            proof=proof, reason=reason, key_spent=True
        )
    timed_out = isinstance(got, service_call.ServiceFailed) and got.timed_out
    return service_outcome.Unknown(reason=reason, timed_out=timed_out)
