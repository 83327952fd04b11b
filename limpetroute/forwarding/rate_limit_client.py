"""Enforces the rate limits that runners announce."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import leader_channel
from limpetroute.routing import rate_limit
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info
from limpetroute.routing import token_bucket

LOG = logging.getLogger(__name__)

CONNECT_TRIES_S = (0.1,)
CALL_TIMEOUT_S = 0.15
# Time for which a leader that did not respond is not called again, so that
# not every request waits for the leader's timeout.
UNREACHABLE_S = 0.5
# Fraction of its even share at which a host without a leader sends. A
# leader that this host cannot reach may still grant requests to the other
# hosts.
LOCAL_SHARE = 0.3
# Interval at which a limit that a runner still announces is reported.
REPORT_AGAIN_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _AnnouncedLimit:
    limit_per_s: float | None
    received_s: float
    reported_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Decision:
    allowed: bool
    wait_s: float


class RateLimitClient:
    """Enforces the rate limits that runners announce.

    The leader permits each request to a limited runner individually.
    Without a reachable leader, this host sends at a fraction of its even
    share of the limit.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    view : FleetView
        The known runners and their load.
    entry_hosts : callable
        Returns the number of entry hosts.
    """

    def __init__(
        self,
        *,
        channel: leader_channel.LeaderChannel,
        view: fleet_view.FleetView,
        entry_hosts: typing.Callable[[], int],
    ) -> None:
        self._channel = channel
        self._view = view
        self._entry_hosts = entry_hosts
        self._unreachable_until_s = 0.0
        self._limits: dict[
            runner_incarnation.RunnerIncarnation, _AnnouncedLimit
        ] = {}
        self._local_buckets: dict[
            runner_incarnation.RunnerIncarnation, token_bucket.TokenBucket
        ] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        channel.subscribe(self._start_term)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._limits)!r})'

    def _start_term(self, before: str) -> None:
        """Report all limits to a new leader."""
        self._unreachable_until_s = 0.0
        if not self._channel.url:
            return
        for incarnation, limit in list(self._limits.items()):
            self._start_report(incarnation, limit)

    def note_answer(
        self, runner: runner_info.RunnerInfo, text: str | None
    ) -> None:
        """Parse and record the rate limit in a runner's response.

        A limit that cannot be parsed is logged once and otherwise ignored.

        Parameters
        ----------
        runner : RunnerInfo
            The runner.
        text : str or None
            The limit as received; None if the response announces none.
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
                'invalid rate limit of a runner',
                extra={'runner': runner.runner_id, 'text': text[:80]},
            )

    def note_limit(
        self, runner: runner_info.RunnerInfo, limit_per_s: float | None
    ) -> None:
        """Record the limit in a runner's response; None for no limit."""
        load = self._view.load(runner.runner_id)
        limit = self._limits.get(runner.incarnation)
        if limit_per_s is None and limit is None:
            return
        if limit_per_s != load.limit_per_s:
            LOG.info(
                'rate limit of a runner changed',
                extra={
                    'runner': runner.runner_id,
                    'limit_per_s': limit_per_s,
                    'before': load.limit_per_s,
                    'own_requests': load.requests,
                },
            )
        load.limit_per_s = limit_per_s
        now_s = _now_s()
        reported_s = limit.reported_s if limit else 0.0
        is_new = limit is None or limit.limit_per_s != limit_per_s
        limit = _AnnouncedLimit(
            limit_per_s=limit_per_s, received_s=now_s, reported_s=reported_s
        )
        self._limits[runner.incarnation] = limit
        if limit_per_s is None:
            load.limited_until_s = 0.0
            self._local_buckets.pop(runner.incarnation, None)
        if is_new or now_s - reported_s > REPORT_AGAIN_S:
            self._start_report(runner.incarnation, limit)
        self._drop_gone_runners()

    async def take(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a request may be sent to a runner now.

        If not, ``limited_until_s`` of the runner's load is the time of the
        next attempt.
        """
        load = self._view.load(runner.runner_id)
        if load.limit_per_s is None:
            return True
        limit = self._limits.get(runner.incarnation)
        if limit is None:
            return True
        if load.is_limited(_now_s()):
            return False
        decision = await self._report(runner.incarnation, limit, takes=True)
        if decision is None:
            return self._take_local_token(runner, load.limit_per_s)
        self._local_buckets.pop(runner.incarnation, None)
        if decision.allowed:
            return True
        load.limited_until_s = _now_s() + decision.wait_s
        return False

    def take_locally(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a request may be sent without the leader."""
        limit_per_s = self._view.load(runner.runner_id).limit_per_s
        return limit_per_s is None or self._take_local_token(
            runner, limit_per_s
        )

    def _take_local_token(
        self, runner: runner_info.RunnerInfo, limit_per_s: float
    ) -> bool:
        now_s = _now_s()
        hosts = max(1, self._entry_hosts())
        rate_per_s = max(limit_per_s, rate_limit.MIN_PROBE_RATE_PER_S)
        rate_per_s *= LOCAL_SHARE / hosts
        bucket = self._local_buckets.get(runner.incarnation)
        if bucket is None:
            bucket = rate_limit.make_bucket(rate_per_s, now_s)
            self._local_buckets[runner.incarnation] = bucket
        rate_limit.set_limit(bucket, rate_per_s, now_s)
        if bucket.level(now_s) >= 1.0:
            bucket.take(1.0, now_s)
            return True
        load = self._view.load(runner.runner_id)
        wait_s = min(bucket.wait_s(1.0, now_s), UNREACHABLE_S)
        load.limited_until_s = now_s + wait_s
        return False

    def _start_report(
        self,
        incarnation: runner_incarnation.RunnerIncarnation,
        limit: _AnnouncedLimit,
    ) -> None:
        task = asyncio.create_task(
            self._report(incarnation, limit, takes=False)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(
        self,
        incarnation: runner_incarnation.RunnerIncarnation,
        limit: _AnnouncedLimit,
        *,
        takes: bool,
    ) -> _Decision | None:
        """Report a limit and return the leader's decision.

        Returns None if the leader did not respond. With ``takes``, the
        report also requests the permission to send one request.
        """
        now_s = _now_s()
        if not self._channel.url or now_s < self._unreachable_until_s:
            return None
        limit.reported_s = now_s
        reply = await self._channel.call(
            '/v1/limits',
            {
                'runner_id': incarnation.runner_id,
                'started_ms': incarnation.started_ms,
                'limit_per_s': limit.limit_per_s,
                'age_s': max(0.0, now_s - limit.received_s),
                'takes': takes,
            },
            timeout_s=CALL_TIMEOUT_S,
            connect_tries_s=CONNECT_TRIES_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable):
            reason = reply.reason
        elif reply.ok:
            try:
                body: dict[str, typing.Any] = reply.json()
                decision = _Decision(
                    allowed=bool(body['allowed']),
                    wait_s=float(body['wait_s']),
                )
                if limit.limit_per_s is None:
                    # The leader has received the end of the limit, which
                    # is reported with each response until then.
                    self._limits.pop(incarnation, None)
                return decision
            except (ValueError, KeyError, TypeError) as exc:
                reason = str(exc)
        else:
            reason = f'status {reply.status}'
        limit.reported_s = 0.0
        self._unreachable_until_s = _now_s() + UNREACHABLE_S
        LOG.info(
            'could not report a rate limit to the leader',
            extra={'url': self._channel.url, 'reason': reason},
        )
        return None

    def _drop_gone_runners(self) -> None:
        """Drop the limits of runners that have left or restarted."""
        for incarnation in list(self._limits):
            runner = self._view.runner(incarnation.runner_id)
            if runner is None or runner.incarnation != incarnation:
                self._limits.pop(incarnation)
                self._local_buckets.pop(incarnation, None)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
