"""Keeps what this host sends within the limits that runners name."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.forwarding import fleet_view
from limpetroute.routing import rate_limit
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

CONNECT_TRIES_S = (0.1,)
CALL_TIMEOUT_S = 0.15
# A leader that did not answer is not waited for by each request.
UNREACHABLE_S = 0.5
# Part of its even share that a host without a leader sends: others may
# still be given theirs by a leader that it cannot reach.
LOCAL_PART = 0.3
# A limit that a runner still names is reported again after this long.
REPORT_AGAIN_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _KnownLimit:
    limit_per_s: float | None
    received_s: float
    reported_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Answer:
    allowed: bool
    wait_s: float


class RateLimitClient:
    """Keeps what this host sends within the limits that runners name.

    The leader gives out a limited runner's requests one by one. Without a
    leader in reach, this host sends a part of its even share.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    view : FleetView
        What is known of runners.
    entry_hosts : callable
        Returns how many hosts send.
    """

    def __init__(
        self,
        *,
        http: caller.Caller,
        view: fleet_view.FleetView,
        entry_hosts: typing.Callable[[], int],
    ) -> None:
        self._http = http
        self._view = view
        self._entry_hosts = entry_hosts
        self._leader_url = ''
        self._unreachable_until_s = 0.0
        self._known: dict[
            runner_incarnation.RunnerIncarnation, _KnownLimit
        ] = {}
        self._own: dict[
            runner_incarnation.RunnerIncarnation, rate_limit.TokenBucket
        ] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._known)!r})'

    def follow(self, leader_url: str) -> None:
        """Take note of who leads, and report all limits to a new leader."""
        if leader_url == self._leader_url:
            return
        self._leader_url = leader_url
        self._unreachable_until_s = 0.0
        if not leader_url:
            return
        for life, known in list(self._known.items()):
            self._report_soon(life, known)

    def note_answer(
        self, runner: runner_info.RunnerInfo, text: str | None
    ) -> None:
        """Take what a runner's answer says of its limit, None for nothing.

        What cannot be read changes nothing, and is logged once.
        """
        if text is None:
            self.note_limit(runner, None)
            return
        limit_per_s = rate_limit.parse_limit(text)
        if limit_per_s is not None:
            self.note_limit(runner, limit_per_s)
            return
        load = self._view.load(runner.runner_id)
        if load.invalid_limit != text:
            load.invalid_limit = text
            LOG.warning(
                'a limit cannot be read',
                extra={'runner': runner.runner_id, 'text': text[:80]},
            )

    def note_limit(
        self, runner: runner_info.RunnerInfo, limit_per_s: float | None
    ) -> None:
        """Take note of the limit, or of none, in a runner's answer."""
        load = self._view.load(runner.runner_id)
        known = self._known.get(runner.incarnation)
        if limit_per_s is None and known is None:
            return
        if limit_per_s != load.limit_per_s:
            LOG.info(
                'runner limits its requests',
                extra={
                    'runner': runner.runner_id,
                    'limit_per_s': limit_per_s,
                    'before': load.limit_per_s,
                    'own_requests': load.requests,
                },
            )
        load.limit_per_s = limit_per_s
        now_s = _now_s()
        reported_s = known.reported_s if known else 0.0
        is_new = known is None or known.limit_per_s != limit_per_s
        known = _KnownLimit(
            limit_per_s=limit_per_s, received_s=now_s, reported_s=reported_s
        )
        self._known[runner.incarnation] = known
        if limit_per_s is None:
            load.limited_until_s = 0.0
            self._own.pop(runner.incarnation, None)
        if is_new or now_s - reported_s > REPORT_AGAIN_S:
            self._report_soon(runner.incarnation, known)
        self._forget_gone()

    async def take(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a request may be sent to a runner now.

        Where it may not, the runner's load says until when.
        """
        load = self._view.load(runner.runner_id)
        if load.limit_per_s is None:
            return True
        known = self._known.get(runner.incarnation)
        if known is None:
            return True
        if load.is_limited(_now_s()):
            return False
        got = await self._report(runner.incarnation, known, takes=True)
        if got is None:
            return self._take_own(runner, load.limit_per_s)
        self._own.pop(runner.incarnation, None)
        if got.allowed:
            return True
        load.limited_until_s = _now_s() + got.wait_s
        return False

    def take_locally(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a request may be sent that no leader gave out."""
        limit_per_s = self._view.load(runner.runner_id).limit_per_s
        return limit_per_s is None or self._take_own(runner, limit_per_s)

    def _take_own(
        self, runner: runner_info.RunnerInfo, limit_per_s: float
    ) -> bool:
        now_s = _now_s()
        hosts = max(1, self._entry_hosts())
        rate_per_s = max(limit_per_s, rate_limit.MIN_PROBE_RATE_PER_S)
        rate_per_s *= LOCAL_PART / hosts
        bucket = self._own.get(runner.incarnation)
        if bucket is None:
            bucket = rate_limit.TokenBucket(rate_per_s=rate_per_s, now_s=now_s)
            self._own[runner.incarnation] = bucket
        bucket.set_rate(rate_per_s, now_s)
        if bucket.has_token(now_s):
            bucket.take(now_s)
            return True
        load = self._view.load(runner.runner_id)
        wait_s = min(bucket.wait_s(now_s), UNREACHABLE_S)
        load.limited_until_s = now_s + wait_s
        return False

    def _report_soon(
        self, life: runner_incarnation.RunnerIncarnation, known: _KnownLimit
    ) -> None:
        task = asyncio.create_task(self._report(life, known, takes=False))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(
        self,
        life: runner_incarnation.RunnerIncarnation,
        known: _KnownLimit,
        *,
        takes: bool,
    ) -> _Answer | None:
        """Report a limit; return the leader's answer, None without one."""
        now_s = _now_s()
        if not self._leader_url or now_s < self._unreachable_until_s:
            return None
        known.reported_s = now_s
        got = await self._http.call(
            method='POST',
            url=f'{self._leader_url}/v1/limits',
            body={
                'runner_id': life.runner_id,
                'started_ms': life.started_ms,
                'limit_per_s': known.limit_per_s,
                'age_s': max(0.0, now_s - known.received_s),
                'takes': takes,
            },
            timeout_s=CALL_TIMEOUT_S,
            connect_tries_s=CONNECT_TRIES_S,
        )
        if not isinstance(got, call_failed.CallFailed) and got.ok:
            try:
                body: dict[str, typing.Any] = got.json()
                answer = _Answer(
                    allowed=bool(body['allowed']),
                    wait_s=float(body['wait_s']),
                )
                if known.limit_per_s is None:
                    # Reported with each answer until it arrived.
                    self._known.pop(life, None)
                return answer
            except (ValueError, KeyError, TypeError) as exc:
                reason = str(exc)
        elif isinstance(got, call_failed.CallFailed):
            reason = got.kind.value
        else:
            reason = f'status {got.status}'
        known.reported_s = 0.0
        self._unreachable_until_s = _now_s() + UNREACHABLE_S
        LOG.info(
            'the leader does not answer for limits',
            extra={'url': self._leader_url, 'reason': reason},
        )
        return None

    def _forget_gone(self) -> None:
        """Forget runners that have left or started again."""
        for life in list(self._known):
            runner = self._view.runner(life.runner_id)
            if runner is None or runner.incarnation != life:
                self._known.pop(life)
                self._own.pop(life, None)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
