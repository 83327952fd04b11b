"""Calls of plain services that must run at most once."""

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
# An answer waits for this long at most until it is kept; a control log
# that can't be reached does not hold it back.
KEPT_BEFORE_ANSWER_S = 0.5
SETTLE_TRIES = 10
SETTLE_PAUSE_S = 0.2
MAX_TRIES = 3

Task = asyncio.Task[service_outcome.ServiceOutcome]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Running:
    digest: str
    task: Task


class OnceCalls:
    """Claims, sends once, and keeps the answer.

    A release confirmation that runs twice is a complaint to the
    regulator. So the claim is in the control log before the first byte
    goes out; a call that may have run is never sent again, whatever
    becomes of its answer. The call is not tied to its caller: it ends,
    and its answer is kept, though the caller has gone.

    Parameters
    ----------
    host_id : str
        This host, as holder of the claims.
    pool : ServicePool
        Sends calls.
    """

    __slots__ = ('_host_id', '_pool', '_running', '_settling')

    def __init__(
        self, *, host_id: str, pool: service_pool.ServicePool
    ) -> None:
        self._host_id = host_id
        self._pool = pool
        self._running: dict[tuple[str, str], _Running] = {}
        self._settling: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(running={len(self._running)!r})'

    @property
    def tasks(self) -> set[asyncio.Task[object]]:
        """What must end before the process exits."""
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
        made_key: bool,
        may_start: bool = True,
    ) -> service_outcome.ServiceOutcome:
        """Make a call, or take the outcome of the one that was made.

        Parameters
        ----------
        claims : ClaimStore or None
            Where claims are made; without one nothing is sent.
        team : str
            The caller's team, inside which the key counts.
        digest : str
            Digest of the whole call.
        call : ServiceCall
            The call.
        made_key : bool
            Whether this host made the key, so that no call before can
            have had it.
        may_start : bool
            Whether a call that nobody has made may be made now.
        """
        place = team, call.key
        running = self._running.get(place)
        if running is None:
            if claims is None:
                return _no_verdict('no_control', 1.0, made_key)
            task = asyncio.create_task(
                self._make(claims, team, digest, call, made_key, may_start)
            )
            running = _Running(digest=digest, task=task)
            self._running[place] = running
            task.add_done_callback(lambda _: self._running.pop(place, None))
        if running.digest != digest:
            return service_outcome.KeyReused()
        return await asyncio.shield(running.task)

    async def _make(
        self,
        claims: claim_store.ClaimStore,
        team: str,
        digest: str,
        call: service_call.ServiceCall,
        made_key: bool,
        may_start: bool,
    ) -> service_outcome.ServiceOutcome:
        # The claim comes even before a refusal for want of a runner: only
        # its verdict says that no earlier call under the key ran.
        verdict = await claims.claim(
            team=team,
            key=call.key,
            body_digest=digest,
            holder=self._host_id,
            timeout_s=CLAIM_TIMEOUT_S,
        )
        if isinstance(verdict, claim_store.ClaimNotMade):
            return _no_verdict(verdict.reason, verdict.retry_after_s, made_key)
        if isinstance(verdict, claim_store.ClaimFound):
            return _found(verdict)
        got: service_call.ServiceResult | None = None
        guard = send_guard.SendGuard()
        if may_start:
            got = await self._send(call, verdict.fence, guard)
        outcome = _outcome(got, guard, may_start=may_start)
        settling = self._settle(claims, team, call.key, outcome)
        if settling is not None:
            # Who has the answer may repeat the call at another host, which
            # knows only what the control log has.
            await asyncio.wait({settling}, timeout=KEPT_BEFORE_ANSWER_S)
        return outcome

    async def _send(
        self,
        call: service_call.ServiceCall,
        fence: int,
        guard: send_guard.SendGuard,
    ) -> service_call.ServiceResult | None:
        """Send until a byte may have reached a runner, then no more."""
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
        """Begin to keep an outcome; None for one that is not known."""
        if isinstance(outcome, service_outcome.Answered):
            reply = outcome.reply
            status, body = reply.status, stored_reply.encode(reply)
        elif isinstance(outcome, service_outcome.NotRun):
            status, body = stored_reply.NOT_SENT_STATUS, outcome.reason
        else:
            # Left open: the claim without an outcome says for ever that
            # the call may have run.
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
    LOG.warning('the outcome of a once-only call was not kept')


def _no_verdict(
    reason: str, retry_after_s: float, made_key: bool
) -> service_outcome.NotRun | service_outcome.Unknown:
    """Return the outcome when the control log gave no verdict.

    Nothing was sent now. But a caller's key may have run before, on
    another host, and a caller who is told ``not_run`` for it would
    release under a new key what was released already.
    """
    if not made_key:
        return service_outcome.Unknown(
            reason=reason, retry_after_s=retry_after_s
        )
    return _not_run(reason, retry_after_s=retry_after_s)


def _not_run(
    reason: str, *, retry_after_s: float = 1.0, key_spent: bool = False
) -> service_outcome.NotRun:
    # A guard of its own: this host has sent nothing for this call.
    proof = send_guard.SendGuard().not_run_proof()
    assert proof is not None
    return service_outcome.NotRun(
        proof=proof,
        reason=reason,
        retry_after_s=retry_after_s,
        key_spent=key_spent,
    )


def _found(verdict: claim_store.ClaimFound) -> service_outcome.ServiceOutcome:
    if not verdict.same_body:
        return service_outcome.KeyReused()
    if verdict.status is None:
        return service_outcome.Unknown(reason='claimed_before')
    if verdict.status == stored_reply.NOT_SENT_STATUS:
        return _not_run(verdict.body, key_spent=True)
    try:
        return stored_reply.decode(verdict.status, verdict.body)
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
