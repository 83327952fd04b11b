"""Limits the concurrent work of runners by how they answer."""

import dataclasses
import math
import typing

# A new runner among others at work starts with this share of its slots, and
# with two requests if it has eight slots or more.
START_SHARE = 1 / 8
MIN_START_SHARE = 1 / 4
MIN_START_LIMIT = 2.0
# A runner that has been there for this long is at work. A fleet's runners
# start within seconds of each other.
ESTABLISHED_S = 5.0
# A limited runner that little is sent to is at full work after this time and
# this many answers as fast as usual.
PROVEN_S = 5.0
PROVEN_ANSWERS = 8
# An answer that takes longer than usual by this factor is slow. Up to the
# lower one it lets the limit grow.
SLOW_FACTOR = 2.0
GOOD_FACTOR = 1.5
# Shorter delays come from the network and from event loops.
MIN_SLOW_S = 0.025
# Slow answers in a row that reduce the limit. A single one may be chance, such
# as a long prompt before it in the queue.
SLOW_ANSWERS = 2
# Healthy runners of one service differ by more than two in speed.
PEER_TOLERANCE = 2.2
# A runner with more requests beside is slower by up to this factor, as long
# as it has not been measured there.
UNSEEN_LEVEL_FACTOR = 1.5
# Least usual ratio. A first answer from a cache would otherwise make all later
# ones seem slow.
MIN_USUAL = 0.5
# Weight of one answer in a runner's usual time.
USUAL_WEIGHT = 1 / 8
# Time in which lasting slowness doubles the usual time. A spell of four
# seconds raises it by 1.4 and is still recognised as slow.
ADAPT_S = 8.0
MAX_ADAPT_STEP_S = 1.0
# Limits the effect of one answer.
MIN_DECREASE = 0.1
REFUSED_DECREASE = 0.5
# Work is stopped for this long after a failure; each further one without an
# answer in between doubles it. A runner that is back is found within 0.8 s, so
# that it is at full work within two.
FIRST_STOP_S = 0.1
MAX_STOP_S = 0.8
# No answer for this many times the longest recent gap is taken for slowness.
STALL_FACTOR = 4.0
MIN_STALL_S = 0.3
# After this time the answer is presumed lost with its host.
MAX_STALL_S = 1.5
GAP_DECAY = 0.97
# A runner with more streams than its limit gets one at most this often.
PROBE_INTERVAL_S = 0.1
# Levels of requests beside: 0, 1, 2 to 3, 4 to 7, and so on.
MAX_LEVEL = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PacedRunner:
    """A runner whose concurrent work is limited.

    Parameters
    ----------
    slots : float
        Requests at which the runner is at full work.
    kind : str
        Runners of one kind are compared with each other.
    """

    slots: float
    kind: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PaceChange:
    """A runner that became limited, or is at full work again.

    Parameters
    ----------
    runner_id : str
        The runner.
    limit : float
        The limit; infinity at full work.
    reason : str
        Text for the log.
    """

    runner_id: str
    limit: float
    reason: str


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pace:
    runner: PacedRunner
    since_s: float
    limit: float = math.inf
    is_new: bool = True
    # Ratio of the taken to the expected time, by level of requests beside.
    usual: dict[int, float] = dataclasses.field(default_factory=dict)
    slow_in_row: int = 0
    good_answers: int = 0
    last_bad_s: float = -math.inf
    last_answer_s: float = -math.inf
    reduced_s: float = -math.inf
    last_start_s: float = -math.inf
    failures: int = 0
    stopped_until_s: float = -math.inf
    # First request since the last answer.
    unanswered_s: float | None = None
    longest_gap_s: float = 0.0

    @property
    def is_limited(self) -> bool:
        return self.limit < math.inf


class RunnerPace:
    """Limits the concurrent work of runners by how they answer.

    Pattern: a runner that has started again has all its slots free, and gets
    every request of a burst while it is still slow or fails. A limit that
    starts low and doubles with the answers finds within a second what the
    runner can do. It falls when answers take longer than the runner's own
    usual time with as many requests beside.
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._now_s = -math.inf
        self._changes: list[PaceChange] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._paces)!r})'

    def set_runners(
        self, runners: typing.Mapping[str, PacedRunner], now_s: float
    ) -> None:
        """Replace the runners.

        Those that were not there before are limited if as many of their kind
        are at work. One that is now of another kind starts anew.
        """
        self._now_s = max(self._now_s, now_s)
        kept: dict[str, _Pace] = {}
        added: list[str] = []
        for runner_id, runner in runners.items():
            pace = self._paces.get(runner_id)
            if pace is None or pace.runner.kind != runner.kind:
                pace = _Pace(runner=runner, since_s=now_s)
                added.append(runner_id)
            pace.runner = runner
            kept[runner_id] = pace
        self._paces = kept
        self._begin(added)

    def limit(self, runner_id: str, now_s: float | None = None) -> float:
        """Return how many requests of all hosts a runner may have at once.

        Parameters
        ----------
        runner_id : str
            The runner.
        now_s : float, optional
            Monotonic time in seconds; by default that of the last event.

        Returns
        -------
        float
            Infinity where nothing limits the runner or it is unknown.
        """
        pace = self._paces.get(runner_id)
        if pace is None:
            return math.inf
        at_s = self._now_s if now_s is None else now_s
        if at_s < pace.stopped_until_s:
            return 0.0
        if self._is_stalled(pace, at_s):
            return 1.0
        return pace.limit

    def admits(self, runner_id: str, work: int, now_s: float) -> bool:
        """Return whether a runner may get another request.

        Requests that go on for long after their first answer, such as streams,
        may exceed a limit that has fallen until the last of them ends. One at
        a time is then admitted all the same; without its answer the limit
        could not grow.

        Parameters
        ----------
        runner_id : str
            The runner.
        work : int
            Requests of all hosts that it has.
        now_s : float
            Monotonic time in seconds.
        """
        limit = self.limit(runner_id, now_s)
        if work + 1 <= limit:
            return True
        pace = self._paces.get(runner_id)
        if pace is None or limit == 0 or work < pace.limit:
            return False
        return (
            pace.unanswered_s is None
            and now_s - pace.last_start_s >= PROBE_INTERVAL_S
        )

    def note_start(self, runner_id: str, now_s: float) -> None:
        """Record that a request is sent to a runner."""
        self._now_s = max(self._now_s, now_s)
        pace = self._paces.get(runner_id)
        if pace is None:
            return
        pace.last_start_s = now_s
        waited_s = now_s - (pace.unanswered_s or 0.0)
        if pace.unanswered_s is None or waited_s > MAX_STALL_S:
            pace.unanswered_s = now_s

    def note_answer(
        self,
        runner_id: str,
        took_s: float,
        usual_s: float,
        beside: int,
        now_s: float,
    ) -> None:
        """Record an answer and adjust the runner's limit.

        Parameters
        ----------
        runner_id : str
            The runner.
        took_s : float
            Time to the answer.
        usual_s : float
            Time that its peers usually need for such a request; 0 if unknown,
            in which case the limit stays as it is.
        beside : int
            Other requests that the runner had.
        now_s : float
            Monotonic time in seconds.
        """
        self._now_s = max(self._now_s, now_s)
        pace = self._paces.get(runner_id)
        if pace is None:
            return
        if pace.unanswered_s is not None:
            gap_s = now_s - pace.unanswered_s
            pace.longest_gap_s = max(gap_s, pace.longest_gap_s * GAP_DECAY)
        since_s = min(MAX_ADAPT_STEP_S, max(0.0, now_s - pace.last_answer_s))
        pace.unanswered_s = None
        pace.last_answer_s = now_s
        pace.failures = 0
        pace.stopped_until_s = -math.inf
        if not (usual_s > 0 and 0 < took_s < math.inf):
            return
        level = min(MAX_LEVEL, max(0, beside).bit_length())
        ratio = took_s / usual_s
        relative = ratio / _usual(pace, level)
        excess_s = took_s * (1 - 1 / relative)
        is_slow = relative > SLOW_FACTOR and excess_s > MIN_SLOW_S
        _learn(pace, level, ratio, since_s, is_slow=is_slow)
        if is_slow:
            pace.slow_in_row += 1
            pace.good_answers = 0
            pace.last_bad_s = now_s
            if (
                pace.slow_in_row >= SLOW_ANSWERS
                and now_s - pace.reduced_s >= took_s
            ):
                factor = max(MIN_DECREASE, 1 / relative)
                self._reduce(runner_id, pace, beside + 1, factor, 'slow')
            return
        pace.slow_in_row = 0
        if relative <= GOOD_FACTOR or excess_s <= MIN_SLOW_S:
            pace.good_answers += 1
            self._grow(runner_id, pace, beside, now_s)

    def note_refused(
        self, runner_id: str, now_s: float, beside: int | None = None
    ) -> None:
        """Record that a runner refused a request although it had capacity.

        ``beside`` is the number of other requests that it had, if known.
        """
        self._now_s = max(self._now_s, now_s)
        pace = self._paces.get(runner_id)
        if pace is None:
            return
        pace.unanswered_s = None
        pace.last_answer_s = now_s
        pace.last_bad_s = now_s
        pace.good_answers = 0
        work = pace.runner.slots if beside is None else max(1, beside)
        if now_s - pace.reduced_s >= FIRST_STOP_S:
            self._reduce(
                runner_id, pace, work, REFUSED_DECREASE, 'refused', force=True
            )

    def note_timeout(
        self, runner_id: str, now_s: float, sent_s: float | None = None
    ) -> None:
        """Record that a runner failed a request or did not answer in time.

        If it has answered another request that was sent later, the host or
        the link is at fault, and the runner is not limited.

        Parameters
        ----------
        runner_id : str
            The runner.
        now_s : float
            Monotonic time in seconds.
        sent_s : float, optional
            When the request was sent.
        """
        self._now_s = max(self._now_s, now_s)
        pace = self._paces.get(runner_id)
        if pace is None:
            return
        if sent_s is not None and pace.last_answer_s > sent_s:
            return
        pace.unanswered_s = None
        pace.last_bad_s = now_s
        pace.good_answers = 0
        if now_s < pace.stopped_until_s or self._most_stopped(pace):
            return
        stop_s = min(FIRST_STOP_S * 2**pace.failures, MAX_STOP_S)
        pace.failures = min(pace.failures + 1, 10)
        pace.stopped_until_s = now_s + stop_s
        self._set_limit(runner_id, pace, 1.0, 'failed')

    def reset(self, runner_id: str, now_s: float | None = None) -> None:
        """Drop what is known of a runner that has restarted."""
        if now_s is not None:
            self._now_s = max(self._now_s, now_s)
        pace = self._paces.get(runner_id)
        if pace is None:
            return
        self._paces[runner_id] = _Pace(runner=pace.runner, since_s=self._now_s)
        self._begin([runner_id])

    def take_changes(self) -> list[PaceChange]:
        """Return the changes of state since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def limited(self) -> dict[str, float]:
        """Return the limits of the runners that are not at full work."""
        return {
            runner_id: self.limit(runner_id)
            for runner_id, pace in self._paces.items()
            if pace.is_limited
        }

    def _peers(self, pace: _Pace) -> list[_Pace]:
        return [
            one
            for one in self._paces.values()
            if one.runner.kind == pace.runner.kind
        ]

    def _begin(self, runner_ids: typing.Sequence[str]) -> None:
        """Limit new runners, unless most of their kind are new."""
        for kind in {self._paces[one].runner.kind for one in runner_ids}:
            of_kind = {
                runner_id: pace
                for runner_id, pace in self._paces.items()
                if pace.runner.kind == kind
            }
            new = [one for one in of_kind.values() if self._is_new(one)]
            at_work = sum(
                not self._is_new(one)
                and not one.is_limited
                and self._now_s >= one.stopped_until_s
                for one in of_kind.values()
            )
            if len(new) > at_work:
                for runner_id, pace in of_kind.items():
                    if self._is_new(pace) and pace.last_bad_s == -math.inf:
                        self._set_limit(
                            runner_id, pace, math.inf, 'most are new'
                        )
                continue
            for runner_id in runner_ids:
                if runner_id in of_kind:
                    pace = of_kind[runner_id]
                    limit = _start_limit(pace.runner.slots)
                    self._set_limit(runner_id, pace, limit, 'new')

    def _is_new(self, pace: _Pace) -> bool:
        if pace.is_new and self._now_s - pace.since_s >= ESTABLISHED_S:
            pace.is_new = False
        return pace.is_new

    def _grow(
        self, runner_id: str, pace: _Pace, beside: int, now_s: float
    ) -> None:
        if not pace.is_limited:
            return
        since_s = max(pace.last_bad_s, pace.since_s)
        is_proven = (
            pace.good_answers >= PROVEN_ANSWERS and now_s - since_s >= PROVEN_S
        )
        limit = pace.limit
        if beside + 1 >= limit / 2:
            # The work that was answered as fast as usual is possible.
            limit = max(limit + 1, min(2 * limit, beside + 1.0))
        if is_proven or limit >= pace.runner.slots:
            limit = math.inf
        self._set_limit(runner_id, pace, limit, 'as fast as usual')

    def _reduce(
        self,
        runner_id: str,
        pace: _Pace,
        work: float,
        factor: float,
        reason: str,
        *,
        force: bool = False,
    ) -> None:
        if not force and self._most_slow(pace):
            return
        pace.reduced_s = self._now_s
        limit = max(1.0, min(pace.limit, work) * factor)
        self._set_limit(runner_id, pace, limit, reason)

    def _most_slow(self, pace: _Pace) -> bool:
        """Return whether most runners of a kind would be limited as slow.

        Their common cause, such as a slow network, is not mended by limits.
        """
        peers = self._peers(pace)
        slow = sum(
            one is not pace and one.slow_in_row >= SLOW_ANSWERS
            for one in peers
        )
        return 2 * (slow + 1) > len(peers)

    def _most_stopped(self, pace: _Pace) -> bool:
        """Return whether another stop would leave less than half at work."""
        peers = self._peers(pace)
        stopped = sum(self._now_s < one.stopped_until_s for one in peers)
        return 2 * (stopped + 1) > len(peers)

    def _is_stalled(self, pace: _Pace, at_s: float) -> bool:
        if pace.unanswered_s is None or not pace.longest_gap_s:
            return False
        waited_s = at_s - pace.unanswered_s
        least_s = max(MIN_STALL_S, pace.longest_gap_s * STALL_FACTOR)
        return least_s < waited_s <= MAX_STALL_S

    def _set_limit(
        self, runner_id: str, pace: _Pace, limit: float, reason: str
    ) -> None:
        if pace.is_limited != (limit < math.inf):
            self._changes.append(
                PaceChange(runner_id=runner_id, limit=limit, reason=reason)
            )
            del self._changes[: -2 * len(self._paces)]
        pace.limit = limit


def _start_limit(slots: float) -> float:
    least = min(MIN_START_LIMIT, slots * MIN_START_SHARE)
    return max(1.0, least, slots * START_SHARE)


def _usual(pace: _Pace, level: int) -> float:
    """Return a runner's usual ratio of taken to expected time."""
    usual = pace.usual
    if level in usual:
        return usual[level]
    below = [one for one in usual if one < level]
    if below:
        return usual[max(below)] * UNSEEN_LEVEL_FACTOR
    if usual:
        return usual[min(usual)]
    return PEER_TOLERANCE


def _learn(
    pace: _Pace, level: int, ratio: float, since_s: float, *, is_slow: bool
) -> None:
    """Adjust the usual ratio; slow answers raise it over time only."""
    known = pace.usual.get(level)
    if is_slow:
        usual = _usual(pace, level) * 2 ** (since_s / ADAPT_S)
    elif known is None:
        usual = ratio
    else:
        usual = known + (ratio - known) * USUAL_WEIGHT
    pace.usual[level] = max(MIN_USUAL, usual)
