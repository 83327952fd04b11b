"""Limits of a fleet's runners, kept where they are spent."""

import collections
import dataclasses
import typing

from limpetroute.routing import rate_limit
from limpetroute.routing import runner_incarnation

# Runners that are kept; the one that told nothing for longest goes first.
MAX_RUNNERS = 4000
# A host that is refused comes back by then at the latest.
LONGEST_WAIT_S = 0.5
SHORTEST_WAIT_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitReport:
    """What a runner named, as a host heard it.

    Parameters
    ----------
    incarnation : RunnerIncarnation
        The runner.
    limit_per_s : float or None
        Requests a second; None once it names no limit.
    received_s : float
        When its answer came, by a steady clock.
    """

    incarnation: runner_incarnation.RunnerIncarnation
    limit_per_s: float | None
    received_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Limited:
    report: LimitReport
    bucket: rate_limit.TokenBucket | None
    turn_s: float = 0.0


class RunnerLimits:
    """Limits of a fleet's runners, kept where they are spent.

    Pattern: a runner in need takes a few requests a second from all hosts
    together, and callers are spread unevenly over hosts. Even parts would
    leave most of the limit unused at hosts with few callers; so one host
    gives all requests out, each to the host that has one to send.
    """

    def __init__(self) -> None:
        self._limited: collections.OrderedDict[str, _Limited] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._limited)!r})'

    def note_limit(self, report: LimitReport, now_s: float) -> None:
        """Take what a runner named, unless something newer is known."""
        runner_id = report.incarnation.runner_id
        known = self._limited.get(runner_id)
        if known is None or known.report.incarnation != report.incarnation:
            if known is not None and _is_older(
                report.incarnation, known.report.incarnation
            ):
                return
            known = _Limited(report=report, bucket=None)
            self._limited[runner_id] = known
        elif report.received_s < known.report.received_s:
            return
        self._limited.move_to_end(runner_id)
        known.report = report
        if report.limit_per_s is None:
            known.bucket = None
        else:
            rate_per_s = max(
                report.limit_per_s, rate_limit.MIN_PROBE_RATE_PER_S
            )
            if known.bucket is None:
                known.bucket = rate_limit.TokenBucket(
                    rate_per_s=rate_per_s, now_s=now_s
                )
            known.bucket.set_rate(rate_per_s, now_s)
        while len(self._limited) > MAX_RUNNERS:
            self._limited.popitem(last=False)

    def limit_per_s(self, runner_id: str) -> float | None:
        """Return the limit that a runner named last."""
        known = self._limited.get(runner_id)
        return known.report.limit_per_s if known is not None else None

    def has_token(self, runner_id: str, now_s: float) -> bool:
        """Return whether a request may be sent to a runner now."""
        bucket = self._bucket(runner_id)
        return bucket is None or bucket.has_token(now_s)

    def exhausted(
        self, runner_ids: typing.Iterable[str], now_s: float
    ) -> set[str]:
        """Return which runners no request may be sent to now."""
        if not self._limited:
            return set()
        return {one for one in runner_ids if not self.has_token(one, now_s)}

    def take(self, runner_id: str, now_s: float) -> None:
        """Count a request to a runner."""
        bucket = self._bucket(runner_id)
        if bucket is not None:
            bucket.take(now_s)

    def retry_wait_s(self, runner_id: str, now_s: float) -> float:
        """Return how long a host that was refused is to wait.

        Each gets a turn of its own: told the same time, all hosts would
        come for the same request.
        """
        known = self._limited.get(runner_id)
        if known is None or known.bucket is None:
            return 0.0
        first_s = now_s + known.bucket.wait_s(now_s)
        known.turn_s = max(
            first_s, known.turn_s + 1.0 / known.bucket.rate_per_s
        )
        if known.turn_s - now_s > LONGEST_WAIT_S:
            known.turn_s = max(first_s, now_s)
        wait_s = min(known.turn_s - now_s, LONGEST_WAIT_S)
        return max(wait_s, SHORTEST_WAIT_S)

    def _bucket(self, runner_id: str) -> rate_limit.TokenBucket | None:
        known = self._limited.get(runner_id)
        return known.bucket if known is not None else None


def _is_older(
    one: runner_incarnation.RunnerIncarnation,
    other: runner_incarnation.RunnerIncarnation,
) -> bool:
    return one.started_ms < other.started_ms
