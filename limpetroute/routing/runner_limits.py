"""Rate limits of a fleet's runners, enforced at the leader."""

import collections
import dataclasses
import typing

from limpetroute.routing import rate_limit
from limpetroute.routing import runner_incarnation
from limpetroute.routing import token_bucket

# The runner whose last report is oldest is removed first.
MAX_RUNNERS = 4000
# Longest and shortest time after which a refused host retries.
MAX_RETRY_WAIT_S = 0.5
MIN_RETRY_WAIT_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitReport:
    """Rate limit from a runner's response, as a host received it.

    Parameters
    ----------
    incarnation : RunnerIncarnation
        The runner and its start.
    limit_per_s : float or None
        Requests per second; None if the response named no limit.
    received_s : float
        When the host received the response, by a monotonic clock.
    """

    incarnation: runner_incarnation.RunnerIncarnation
    limit_per_s: float | None
    received_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _LimitedRunner:
    report: LimitReport
    bucket: token_bucket.TokenBucket | None
    last_retry_s: float = 0.0


class RunnerLimits:
    """Rate limits of a fleet's runners, enforced at the leader.

    An overloaded runner accepts a few requests per second from all hosts
    together, and callers are spread unevenly over the hosts. If each host
    got an equal part, hosts with few callers would leave most of the limit
    unused. The leader therefore grants the requests one by one, each to a
    host that has a request to send.
    """

    def __init__(self) -> None:
        self._limited: collections.OrderedDict[str, _LimitedRunner] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._limited)!r})'

    def note_limit(self, report: LimitReport, now_s: float) -> None:
        """Apply a reported limit, unless a newer report is known."""
        runner_id = report.incarnation.runner_id
        limited = self._limited.get(runner_id)
        if limited is None or limited.report.incarnation != report.incarnation:
            if limited is not None and _is_older(
                report.incarnation, limited.report.incarnation
            ):
                return
            limited = _LimitedRunner(report=report, bucket=None)
            self._limited[runner_id] = limited
        elif report.received_s < limited.report.received_s:
            return
        self._limited.move_to_end(runner_id)
        limited.report = report
        if report.limit_per_s is None:
            limited.bucket = None
        else:
            rate_per_s = max(
                report.limit_per_s, rate_limit.MIN_PROBE_RATE_PER_S
            )
            if limited.bucket is None:
                limited.bucket = rate_limit.make_bucket(rate_per_s, now_s)
            rate_limit.set_limit(limited.bucket, rate_per_s, now_s)
        while len(self._limited) > MAX_RUNNERS:
            self._limited.popitem(last=False)

    def limit_per_s(self, runner_id: str) -> float | None:
        """Return the last reported limit of a runner, or None."""
        limited = self._limited.get(runner_id)
        return limited.report.limit_per_s if limited is not None else None

    def has_token(self, runner_id: str, now_s: float) -> bool:
        """Return whether a request may be sent to a runner now."""
        bucket = self._bucket(runner_id)
        return bucket is None or bucket.level(now_s) >= 1.0

    def exhausted(
        self, runner_ids: typing.Iterable[str], now_s: float
    ) -> set[str]:
        """Return the runners whose limit allows no request now."""
        if not self._limited:
            return set()
        return {
            runner_id
            for runner_id in runner_ids
            if not self.has_token(runner_id, now_s)
        }

    def take(self, runner_id: str, now_s: float) -> None:
        """Count a request to a runner."""
        bucket = self._bucket(runner_id)
        if bucket is not None:
            bucket.take(1.0, now_s)

    def retry_wait_s(self, runner_id: str, now_s: float) -> float:
        """Return how long a refused host must wait before it retries.

        Each host gets a different time. With the same time, all hosts
        would compete for the same request.
        """
        limited = self._limited.get(runner_id)
        if limited is None or limited.bucket is None:
            return 0.0
        first_s = now_s + limited.bucket.wait_s(1.0, now_s)
        limited.last_retry_s = max(
            first_s, limited.last_retry_s + 1.0 / limited.bucket.rate_per_s
        )
        if limited.last_retry_s - now_s > MAX_RETRY_WAIT_S:
            limited.last_retry_s = max(first_s, now_s)
        wait_s = min(limited.last_retry_s - now_s, MAX_RETRY_WAIT_S)
        return max(wait_s, MIN_RETRY_WAIT_S)

    def _bucket(self, runner_id: str) -> token_bucket.TokenBucket | None:
        limited = self._limited.get(runner_id)
        return limited.bucket if limited is not None else None


def _is_older(
    incarnation: runner_incarnation.RunnerIncarnation,
    other: runner_incarnation.RunnerIncarnation,
) -> bool:
    return incarnation.started_ms < other.started_ms
