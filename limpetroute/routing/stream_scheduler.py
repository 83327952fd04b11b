"""Places streams on runners, for all entry hosts."""

import heapq
import itertools
import math
import pickle
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import admission
from limpetroute.routing import capacity_probe
from limpetroute.routing import decode_placement
from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import forecast
from limpetroute.routing import kept_runners
from limpetroute.routing import moving_mean
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import placement_preview
from limpetroute.routing import pool_sizing
from limpetroute.routing import prefill_queue
from limpetroute.routing import rank_shares
from limpetroute.routing import reservations
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits
from limpetroute.routing import runner_pace
from limpetroute.routing import runner_selector
from limpetroute.routing import runner_speeds
from limpetroute.routing import scheduling_terms
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.routing import stream_times
from limpetroute.routing import team_shares
from limpetroute.routing import urgency
from limpetroute.routing import wait_estimate
from limpetroute.routing import waiting_queue
from limpetroute.routing import waiting_stream

# If a large stream at the head of the queue does not fit, smaller ones may
# pass it for this long. After that, freed capacity is kept for it.
HEAD_OF_LINE_TIMEOUT_S = 0.25
# In a smaller pool, a runner that is held back is too large a part of it.
MIN_RUNNERS_TO_HOLD_BACK = 4
# At most one in this many runners is held back.
HELD_BACK_DIVISOR = 3
# Prompts that one runner prefills, one after another, before the callers of
# streams that go on disconnect.
PREFILLS_PER_HELD_BACK_RUNNER = 4
# Interval at which all waiting streams are checked again. In between, an event
# is matched only with the streams and runners that it may affect.
FULL_PASS_S = 0.05
# Fit checks in one pass. The next pass handles the rest, so that no pass
# blocks its process for long.
MAX_FIT_CHECKS = 1000
# Passes that a preview makes at most, so that it ends soon.
MAX_PREVIEW_PASSES = 8

# A stream is put first for its rank's minimum share if it has less time left
# than this until it must be placed to meet its target. A slot usually becomes
# free sooner.
PUT_FIRST_MARGIN_S = 0.25

# Time since a stream's last event for which it waits if all runners of its
# version have failed it. A crashed runner is usually replaced sooner.
FAILED_VERSION_WAIT_S = 1.0
# Prompts at which a prefill runner is at full work: it prefills one after
# another, and more are queued rarely.
PREFILL_SLOTS = 4.0

# Share of the slots that must be taken or asked for until streams that miss
# their target are rejected: rates that are not measured yet may be far off.
MIN_SATURATED_SHARE = 0.5

PlacementResult = placement.Placement | placement.Rejection


class StreamScheduler:
    """Places streams on the runners of one service.

    Pattern: many entry hosts send streams to few runners. Each host sees only
    its own streams. Without a central scheduler, the hosts together would
    overload a runner's slots and memory: prompts would be prefilled for
    streams that are then refused, and other streams would be preempted in the
    middle of their answers.

    Capacity on a decode runner is reserved before the prompt is prefilled.
    Streams that can still meet their target go first, earliest target first.
    Under overload this order alone would serve each stream just too late. So
    late streams wait for the capacity that no other stream can use, and a
    stream that cannot be placed while its caller waits is rejected at once.
    A slot is held for seconds, so while new streams alone need all of them, a
    stream that misses its target in any case is rejected as well.

    If the streams have ranks, more urgent ones go first among those that can
    meet their target, and each rank gets a minimum share of the placements.
    A stream that fits nowhere keeps one runner free from less urgent ones.

    A decision checks only what an event may have changed. A new stream is
    checked against the runners with the most free memory, and a runner where a
    stream ended against the streams at the head of the queue. At longer
    intervals, all waiting streams are checked again.

    Parameters
    ----------
    engine : Engine
        Slots and memory of each runner.
    limits : RunnerLimits or None
        Request rates that the runners accept; None for no limits.
    """

    def __init__(
        self,
        *,
        engine: service_module.Engine,
        limits: runner_limits.RunnerLimits | None = None,
    ) -> None:
        self._engine = engine
        self._limits = limits or runner_limits.RunnerLimits()
        self._team_shares = team_shares.TeamShares()
        self._reservations = reservations.Reservations(
            engine=engine, shares=self._team_shares
        )
        guess = stage_rates.default_rates(engine)
        self._prompt_size = moving_mean.MovingMean(guess.prompt_tokens)
        self._output_size = moving_mean.MovingMean(guess.output_tokens)
        self._prefill = prefill_queue.PrefillQueue(
            reserved=self._reservations,
            prompt_size=self._prompt_size,
        )
        self._outliers = outlier_detector.OutlierDetector(
            stream_count=self._unproven_streams
        )
        self._fleet = fleet_module.Fleet(
            reserved=self._reservations,
            outliers=self._outliers,
            limits=self._limits,
        )
        self._decode_placement = decode_placement.DecodePlacement(
            engine=engine,
            reserved=self._reservations,
            outliers=self._outliers,
            fleet=self._fleet,
            limits=self._limits,
        )
        self._estimate = wait_estimate.WaitEstimate(
            reserved=self._reservations,
            prefill=self._prefill,
            fleet=self._fleet,
            decode_placement=self._decode_placement,
            output_size=self._output_size,
        )
        self._admission = admission.Admission()
        self._waiting = waiting_queue.WaitingQueue(shares=self._team_shares)
        self._rank_shares = rank_shares.RankShares()
        # Streams placed in the last decision by a rank's minimum share.
        self._placed_by_share: set[str] = set()
        # Waits that rejected streams would have had, in the last decision.
        self._estimated_waits_s: dict[str, float] = {}
        # Runners that entry hosts report as leaving, by identity.
        self._leaving: dict[str, runner_incarnation.RunnerIncarnation] = {}
        self._terms = scheduling_terms.SchedulingTerms()
        # None unless the load is shared.
        self._pace: runner_pace.RunnerPace | None = None
        self._start_s = moving_mean.MovingMean(
            stream_times.FIRST_EVENT_OVERHEAD_S
        )
        self._has_new_pace = False
        self._is_saturated = False
        self._has_new = False
        self._full_pass_s = -math.inf
        self._unfinished = False

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(held={len(self._reservations)!r}, '
            f'waiting={len(self._waiting)!r})'
        )

    @property
    def reservation_count(self) -> int:
        """Number of reservations."""
        return len(self._reservations)

    @property
    def waiting(self) -> int:
        """Number of waiting streams."""
        return len(self._waiting)

    @property
    def streams(self) -> int:
        """Number of streams that run or wait."""
        return len(self._reservations) + len(self._waiting)

    @property
    def is_saturated(self) -> bool:
        """Whether new streams alone need all slots."""
        return self._is_saturated

    @property
    def decode_runners(self) -> int:
        """Number of decode runners that may be given streams."""
        return len(self._fleet.decode_runners)

    @property
    def prefill_runners(self) -> int:
        """Number of prefill runners that may be given prompts."""
        return len(self._fleet.prefill_runners)

    @property
    def unfinished(self) -> bool:
        """Whether the last decision left streams for the next one."""
        return self._unfinished

    @property
    def fit_checks(self) -> int:
        """Number of checks so far whether a stream fits a runner."""
        return self._decode_placement.fit_checks

    @property
    def has_ranks(self) -> bool:
        """Whether ranks are in effect."""
        return self._terms.has_ranks

    @property
    def tokens_per_s(self) -> float:
        """Measured decode speed of one stream in tokens per second."""
        return self._reservations.tokens_per_s

    @property
    def rates(self) -> stage_rates.StageRates:
        """Mean sizes of the streams and speeds of the runners."""
        return stage_rates.StageRates(
            prompt_tokens=self._prompt_size.mean,
            output_tokens=self._output_size.mean,
            read_tokens_per_s=self._prefill.tokens_per_s,
            write_tokens_per_s=self._reservations.tokens_per_s,
            deviation_tokens=self._reservations.deviation_tokens,
        )

    def gone_s(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> dict[str, float]:
        """Return for how long runners have seemed gone, by identity."""
        return self._outliers.gone_s(runners, now_s)

    def runner_factors(self) -> dict[str, pool_sizing.RunnerFactors] | None:
        """Return the speed of each runner in both stages.

        A runner that was measured in one stage counts as being as fast in the
        other one. None if the speed of each runner decides nothing.
        """
        speeds = self._reservations.speeds
        if speeds is None:
            return None
        factors = {}
        for runner_id in self._fleet.runner_ids:
            decode = speeds.factor(runner_id)
            prefill = self._prefill.factor(runner_id)
            if decode is None and prefill is None:
                continue
            factors[runner_id] = pool_sizing.RunnerFactors(
                prefill=prefill or decode or 1.0,
                decode=decode or prefill or 1.0,
            )
        return factors

    def set_terms(self, terms: scheduling_terms.SchedulingTerms) -> None:
        """Set which of the shared decisions are in effect."""
        if terms.is_shared != self._terms.is_shared:
            self._pace = runner_pace.RunnerPace() if terms.is_shared else None
            self._prefill.pace = self._pace
            self._decode_placement.pace = self._pace
            self._outliers.is_paced = terms.is_shared
            self._has_new_pace = terms.is_shared
            self._reservations.speeds = (
                runner_speeds.RunnerSpeeds() if terms.is_shared else None
            )
            self._prefill.use_speeds(terms.is_shared)
        self._terms = terms

    def describe_rank(
        self, request: placement.PlacementRequest
    ) -> dict[str, object]:
        """Return what ranks and teams had to do with a result, for the log.

        Empty if the streams have no ranks.
        """
        if not self._waiting.is_ranked:
            return {}
        rank = urgency.rank_of(request)
        share = self._team_shares.share(rank, request.team)
        return {
            'rank': '/'.join(map(str, rank)),
            'route_priority': request.route_priority,
            'team_share': round(share.held, 3),
            'team_fair_share': round(share.fair, 3),
            'by_minimum_share': request.request_id in self._placed_by_share,
        }

    def describe_estimate(self, request_id: str) -> dict[str, int]:
        """Return the estimate that a rejection rests on, for the log.

        Empty for placements, and for streams that no runner can serve.
        """
        wait_s = self._estimated_waits_s.get(request_id, math.inf)
        if wait_s == math.inf:
            return {}
        return {'estimated_wait_ms': round(wait_s * 1000)}

    def take_pace_changes(self) -> list[runner_pace.PaceChange]:
        """Return the runners that became limited or are at full work again."""
        return self._pace.take_changes() if self._pace is not None else []

    def limited_runners(self) -> dict[str, float]:
        """Return the limits of the runners that are not at full work."""
        return self._pace.limited() if self._pace is not None else {}

    def reset_runner(self, runner_id: str) -> None:
        """Drop the state of a runner that has restarted.

        The new process has none of the earlier streams. If they were still
        counted, they would block new streams until they expire, and failures
        of the old process would keep the runner ejected.
        """
        self._reservations.reset_runner(runner_id)
        self._prefill.reset_runner(runner_id)
        self._outliers.reset(runner_id)
        if self._pace is not None:
            self._pace.reset(runner_id)
        self._leaving.pop(runner_id, None)

    def submit(
        self, request: placement.PlacementRequest, now_s: float
    ) -> None:
        """Add a stream to the queue; `decide` returns its result.

        A second request for the same stream means that its host has released
        the earlier placement. The report of that release may arrive later or
        never, so the placement is dropped here.
        """
        self._drop(request.request_id)
        self._outliers.note_backoffs(request.blocked_until_s)
        self._outliers.note_shedding(request.shedding, now_s)
        for runner_id in request.shedding:
            self._note_refused(runner_id, now_s)
        for incarnation in request.leaving:
            self._leaving[incarnation.runner_id] = incarnation
        sent_s = now_s - request.waited_s
        first_sent_s = self._admission.first_sent_s(request, sent_s, now_s)
        if first_sent_s == sent_s and not request.goes_on:
            self._prompt_size.note(request.prompt_tokens)
            self._output_size.note(self._reservations.expected_tokens(request))
        stream = waiting_stream.WaitingStream(
            request=request,
            sent_s=sent_s,
            first_sent_s=first_sent_s,
            tokens=request.prefill_tokens,
        )
        self._waiting.add(stream, self._can_meet_target(stream, now_s))
        self._has_new = True

    def cancel(self, request_id: str) -> None:
        """Remove a stream whose caller has disconnected."""
        self._waiting.remove(request_id)
        self._drop(request_id)

    def note_first_event(
        self, request_id: str, attempt: int, took_s: float, now_s: float
    ) -> None:
        """Record the first event of a stream.

        Without shared load, hosts report it only after a decode runner's own
        prefill. ``took_s`` is the time from sending the request to the event.
        """
        if self._pace is not None:
            self._note_start_pace(
                self._pace, request_id, attempt, took_s, now_s
            )
        self._prefill.note_first_event(request_id, attempt, took_s, now_s)
        self._reservations.note_first_event(request_id, now_s)

    def note_prefill_done(
        self, request_id: str, attempt: int, now_s: float
    ) -> None:
        """Record that a prefill runner has prefilled a prompt."""
        prefill_id = self._prefill.note_prefill_done(
            request_id, attempt, now_s
        )
        if prefill_id is not None:
            self._outliers.note_success(prefill_id)

    def release(self, end: placement.Release, now_s: float) -> None:
        """Release a placement and learn from how the stream ended."""
        placed = self._reservations.release(end)
        self._prefill.drop(end.request_id, end.attempt)
        if placed is not None:
            self._admission.note_release(now_s)
        for runner_id in end.full:
            seen = self._reservations.stream_count(runner_id)
            self._outliers.note_full(
                runner_id, self._engine.slots - seen, now_s
            )
            self._note_refused(runner_id, now_s)
        for runner_id in end.failed:
            self._outliers.note_failure(runner_id, now_s)
            if self._pace is not None:
                self._pace.note_timeout(runner_id, now_s)
        if placed is not None and end.whole and not end.failed:
            # A stream that its caller gave up shows nothing about the decode
            # runner. No stream counts as a success of its prefill runner: that
            # prefill ended seconds ago, and the runner may have failed since.
            self._outliers.note_success(placed.decode_id)

    def restore(
        self,
        placed: placement.Placement,
        request: placement.PlacementRequest,
        now_s: float,
    ) -> None:
        """Add a placement that an earlier leader or an entry host made."""
        if placed.request_id in self._reservations:
            return
        self._reservations.add(
            placed,
            request,
            sent_s=now_s - request.waited_s,
            begins_s=now_s,
            on_time=not request.goes_on,
        )

    def decide(
        self,
        runners: typing.Iterable[runner_info.RunnerInfo],
        now_s: float,
        *,
        changing: typing.Collection[str] = (),
    ) -> list[PlacementResult]:
        """Return the results of the streams that are decided now.

        ``changing`` are runners that were ordered to change their stage. For
        some seconds they refuse all requests but are still announced with
        their old stage.
        """
        self._reservations.expire(now_s)
        self._prefill.expire(now_s)
        if self._terms.has_ranks != self._waiting.is_ranked:
            self._set_ranked(self._terms.has_ranks, now_s)
        if self._leaving:
            runners = list(runners)
            changing = {*changing, *self._find_leaving(runners)}
        is_changed = self._fleet.refresh(runners, changing, now_s)
        full = is_changed or now_s - self._full_pass_s >= FULL_PASS_S
        if is_changed:
            self._prefill.set_runners(
                self._fleet.prefill_runners, self._fleet.decode_runners
            )
        if self._pace is not None and (is_changed or self._has_new_pace):
            self._has_new_pace = False
            self._pace.set_runners(self._paced_runners(), now_s)
            if self._reservations.speeds is not None:
                self._reservations.speeds.keep(self._fleet.runner_ids)
        if full:
            self._full_pass_s = now_s
            self._is_saturated = self._find_saturated(now_s)
            self._waiting.sort(lambda one: self._can_meet_target(one, now_s))
            for one in self._waiting.in_order():
                one.fits_nowhere = False
                one.keeps_runner = None
            if self._waiting.is_ranked:
                self._waiting.put_first(
                    self._rank_shares.due_placements(),
                    lambda one: self._can_meet_target(
                        one, now_s + PUT_FIRST_MARGIN_S
                    ),
                )
        self._placed_by_share.clear()
        self._estimated_waits_s.clear()
        self._estimate.refresh(len(self._waiting), now_s, full=full)
        results: list[PlacementResult] = []
        if self._is_saturated and (full or self._has_new):
            results.extend(self._reject_late(now_s))
        results.extend(self._place_waiting(now_s))
        if full or self._has_new:
            self._estimate.refresh(len(self._waiting), now_s, full=full)
            results.extend(self._reject_unplaceable(now_s, full=full))
            self._has_new = False
        return results

    def _set_ranked(self, is_ranked: bool, now_s: float) -> None:
        """Set whether ranks decide, from the next full pass on."""
        self._waiting.set_ranked(
            is_ranked, lambda one: self._can_meet_target(one, now_s)
        )
        self._rank_shares = rank_shares.RankShares()
        self._full_pass_s = -math.inf

    def snapshot(self) -> bytes:
        """Return this scheduler for `decision_preview.preview`."""
        # Several times faster than a copy of the objects. The bytes do not
        # leave the process.
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    def decide_one(
        self,
        request: placement.PlacementRequest,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
        *,
        changing: typing.Collection[str] = (),
    ) -> PlacementResult | None:
        """Submit a stream and return what is decided about it now, if any."""
        self.submit(request, now_s)
        for _ in range(MAX_PREVIEW_PASSES):
            for one in self.decide(runners, now_s, changing=changing):
                if one.request_id == request.request_id:
                    return one
            if not self.unfinished:
                break
        return None

    def position(self, request_id: str) -> int:
        """Return how many waiting streams go before a waiting one."""
        names = [one.request_id for one in self._waiting.in_order()]
        return names.index(request_id)

    def estimated_start_s(self, request: placement.PlacementRequest) -> float:
        """Return when a waiting stream is expected to be placed."""
        position = self.position(request.request_id)
        return self._estimate.start_s(request, position, False)

    def describe_candidates(
        self,
        request: placement.PlacementRequest,
        runners: typing.Sequence[runner_info.RunnerInfo],
        now_s: float,
        changing: typing.Collection[str],
    ) -> typing.Iterator[placement_preview.CandidatePreview]:
        """Yield the decode runners, with what is against each of them."""
        self._reservations.expire(now_s)
        self._fleet.refresh(runners, changing, now_s)
        self._fleet.update(now_s)
        for runner in runners:
            if runner.stage is not stage_module.Stage.DECODE:
                continue
            fits = self._decode_placement.best_of(
                request, [runner], now_s, now_s
            )
            streams = self._reservations.stream_count(runner.runner_id)
            free_tokens = int(self._fleet.free_tokens(runner, now_s))
            against = ''
            if not runner.ready:
                against = 'not ready'
            elif runner.runner_id in changing:
                against = 'changing its stage or leaving'
            elif runner.runner_id in request.avoid:
                against = 'this host cannot use it'
            elif runner.runner_id not in self._fleet.decode_runners:
                against = 'ejected after failures'
            elif streams >= self._engine.slots:
                against = 'no free slot'
            elif free_tokens < request.prefill_tokens:
                against = 'too little free memory'
            elif fits is None:
                against = 'would be too full, or its rate limit is used up'
            yield placement_preview.CandidatePreview(
                runner_id=runner.runner_id,
                zone=runner.zone,
                streams=streams,
                slots=self._engine.slots,
                free_tokens=free_tokens,
                against=against,
            )

    def _find_leaving(
        self, runners: typing.Sequence[runner_info.RunnerInfo]
    ) -> list[str]:
        """Return the runners that are leaving; drop those that have left."""
        incarnations = {one.incarnation for one in runners}
        self._leaving = {
            runner_id: incarnation
            for runner_id, incarnation in self._leaving.items()
            if incarnation in incarnations
        }
        return list(self._leaving)

    def _unproven_streams(self, runner_id: str) -> int:
        """Return the number of streams that may still succeed at a runner.

        A prompt that is prefilled has proven its prefill runner already; its
        answer is decoded elsewhere, for seconds.
        """
        prefills = self._prefill.prefill_count(runner_id)
        return self._reservations.stream_count(runner_id) + prefills

    def _drop(self, request_id: str) -> None:
        attempt = self._reservations.drop(request_id)
        if attempt is not None:
            self._prefill.drop(request_id, attempt)

    def _can_meet_target(
        self, one: waiting_stream.WaitingStream, at_s: float
    ) -> bool:
        """Return whether a stream placed at a time meets its target."""
        has_prefill_runner = bool(self._fleet.prefill_runners)
        needed_s = self._prefill.first_event_delay_s(
            one.request, has_prefill_runner
        )
        return one.can_meet_target(at_s, needed_s)

    def _find_saturated(self, now_s: float) -> bool:
        """Return whether new streams alone need all slots.

        If the streams have ranks, each rank has a minimum share of the
        placements instead, also for its late streams.
        """
        slots = len(self._fleet.decode_runners) * self._engine.slots
        if (
            not slots
            or self._terms.has_ranks
            or self.streams < slots * MIN_SATURATED_SHARE
        ):
            return False
        held_s = self._output_size.mean / self._reservations.tokens_per_s
        held_s += self._prefill.mean_first_event_delay_s
        return self._admission.arrivals_per_s(now_s) * held_s >= slots

    def _reject_late(self, now_s: float) -> list[placement.Rejection]:
        """Reject streams that miss their target, also those that go on.

        One that still runs elsewhere is not given up.
        """
        resumed = list(self._waiting.resumed())
        late = list(self._waiting.late())
        return [
            self._reject(one, now_s)
            for one in itertools.chain(resumed, reversed(late))
            if not one.request.has_runner
        ]

    # Pace of the runners

    def _paced_runners(self) -> dict[str, runner_pace.PacedRunner]:
        slots = {
            stage_module.Stage.PREFILL: PREFILL_SLOTS,
            stage_module.Stage.DECODE: float(self._engine.slots),
        }
        return {
            runner.runner_id: runner_pace.PacedRunner(
                slots=count, kind=stage.value
            )
            for stage, count in slots.items()
            for runner in self._fleet.ready(stage)
        }

    def _note_refused(self, runner_id: str, now_s: float) -> None:
        if self._pace is not None:
            beside = self._reservations.stream_count(runner_id)
            self._pace.note_refused(runner_id, now_s, beside)

    def _note_start_pace(
        self,
        pace: runner_pace.RunnerPace,
        request_id: str,
        attempt: int,
        took_s: float,
        now_s: float,
    ) -> None:
        """Record how fast a decode runner started a stream.

        A runner that starts a stream is not failing, so its ejection ends.
        """
        found = self._reservations.find(request_id, attempt)
        if found is None:
            return
        placed, request = found.placed, found.request
        tokens = request.self_prefill_tokens
        if placed.prefill_id:
            tokens = request.written_tokens
        if found.prefilled_s is not None and not tokens:
            self._prefill.note_start_overhead(now_s - found.prefilled_s)
        usual_s = self._start_s.mean
        if tokens:
            usual_s += tokens / self._prefill.self_prefill_tokens_per_s()
        else:
            self._start_s.note(min(took_s, 2 * usual_s))
        decode_id = placed.decode_id
        self._outliers.note_success(decode_id)
        beside = self._reservations.stream_count(decode_id) - 1
        pace.note_answer(decode_id, took_s, usual_s, beside, now_s)
        # Streams that wait may use a limit that has grown.
        self._reservations.note_freed(decode_id)

    # Placement

    def _place_waiting(self, now_s: float) -> list[placement.Placement]:
        self._fleet.update(now_s)
        self._hold_back_runners()
        freed = self._fleet.by_free_memory(self._reservations.take_freed())
        max_checks = self._decode_placement.fit_checks + MAX_FIT_CHECKS
        selector = runner_selector.RunnerSelector(
            prefill=self._prefill,
            decode_placement=self._decode_placement,
            fleet=self._fleet,
            freed=freed,
            now_s=now_s,
        )
        self._unfinished = False
        kept = None
        if self._waiting.is_ranked:
            kept = kept_runners.KeptRunners(
                decode_runners=self._fleet.decode_runners
            )
            self._decode_placement.kept = kept.runner_ids
        placements = []
        freed_tokens = selector.freed_tokens
        streams: typing.Iterable[waiting_stream.WaitingStream] = ()
        if kept is not None:
            streams = itertools.chain.from_iterable(
                kept.until_all_kept(self._waiting.by_group())
            )
        else:
            streams = self._waiting.in_order()
        keeps_enough = kept is None
        for one in streams:
            waited_s = now_s - one.sent_s
            if one.fits_nowhere and one.tokens > freed_tokens:
                # The situation of this stream has not changed since its last
                # check.
                if waited_s <= HEAD_OF_LINE_TIMEOUT_S and keeps_enough:
                    continue
                if kept is not None and one.keeps_runner:
                    kept.keep(waited_s > HEAD_OF_LINE_TIMEOUT_S)
                    if kept.has_all:
                        break
                    keeps_enough = kept.left <= 0
                    continue
                chosen = None
            elif self._decode_placement.fit_checks > max_checks:
                self._unfinished = True
                break
            else:
                chosen = selector.choose(one)
            if chosen is not None:
                placements.append(self._place(one, chosen, now_s))
                freed_tokens = selector.freed_tokens
                continue
            if kept is not None:
                has_waited = waited_s > HEAD_OF_LINE_TIMEOUT_S
                if self._keeps_runner(one, now_s, has_waited=has_waited):
                    kept.keep(has_waited)
                    if kept.has_all:
                        break
                    keeps_enough = kept.left <= 0
                continue
            if waited_s > HEAD_OF_LINE_TIMEOUT_S and self._keeps_capacity_free(
                one.request, now_s
            ):
                break
        self._decode_placement.kept = frozenset()
        return placements

    def _keeps_runner(
        self,
        one: waiting_stream.WaitingStream,
        now_s: float,
        *,
        has_waited: bool,
    ) -> bool:
        """Return whether a runner is kept free for a stream that waits.

        A stream that waits for a prefill runner keeps none at first, as those
        behind it wait for the same prefill runners.
        """
        if not (
            has_waited or one.fits_nowhere or not self._fleet.prefill_runners
        ):
            return False
        if one.keeps_runner is None:
            one.keeps_runner = self._keeps_capacity_free(one.request, now_s)
        return one.keeps_runner

    def _keeps_capacity_free(
        self, request: placement.PlacementRequest, now_s: float
    ) -> bool:
        """Return whether streams behind a waiting one must not pass it.

        Capacity is kept free only for a stream that it can serve: not for one
        that waits for a prefill, for the end of its host's backoffs, or for
        runners that are not there yet. Neither is it for one that may use a
        part of the runners, that may go on where it is, or that waits for a
        single runner.
        """
        decode_runners = self._fleet.decode_runners
        return (
            not request.has_runner
            and len(self._fleet.candidates(request)) == len(decode_runners)
            and not request.avoids_all(decode_runners)
            and self._estimate.can_be_prefilled(request)
            and not self._waits_for_quiet_runner(request)
            and not self._is_host_blocked(request, now_s)
        )

    def _waits_for_quiet_runner(
        self, request: placement.PlacementRequest
    ) -> bool:
        """Return whether only a runner without on-time streams may prefill.

        Pattern: several decode runners crash at once. Their streams go on
        elsewhere, and their routes allow no further prefill by a prefill
        runner. A decode runner would delay its streams by a prefill of this
        length, and a stream that goes on is late itself.
        """
        return (
            len(self._fleet.decode_runners) >= MIN_RUNNERS_TO_HOLD_BACK
            and request.goes_on
            and not (request.reads_prompt and self._fleet.prefill_runners)
            and self._prefill.exceeds_pause_limit(request)
        )

    def _hold_back_runners(self) -> None:
        """Keep new streams from a few runners while others wait for them.

        Without it, new streams would take each runner that becomes quiet, and
        the streams that go on would be lost. Their prefills delay the streams
        of a runner once, so they may delay fewer streams than wait.
        """
        waiting_tokens = [
            one.tokens
            for one in self._waiting.resumed()
            if self._waits_for_quiet_runner(one.request)
        ]
        waiting = len(waiting_tokens)
        runners = self._fleet.decode_runners
        count = min(
            math.ceil(waiting / PREFILLS_PER_HELD_BACK_RUNNER),
            len(runners) // HELD_BACK_DIVISOR,
        )
        needed_tokens = min(waiting_tokens, default=0)
        held_back = heapq.nsmallest(
            count,
            (
                one.runner_id
                for one in runners
                if runners.free_tokens(one.runner_id) >= needed_tokens
            ),
            key=lambda runner_id: (
                self._reservations.on_time_count(runner_id),
                runner_id,
            ),
        )
        self._decode_placement.held_back = frozenset(held_back)
        self._prefill.shared_pauses = {
            runner_id: waiting // max(1, count) for runner_id in held_back
        }

    def _place(
        self,
        one: waiting_stream.WaitingStream,
        chosen: runner_selector.ChosenRunners,
        now_s: float,
    ) -> placement.Placement:
        prefill_runner = chosen.prefill_runner
        expected = self._forecast(one, chosen, now_s)
        placed = placement.Placement(
            request_id=one.request_id,
            decode_id=chosen.decode_runner.runner_id,
            prefill_id=prefill_runner.runner_id if prefill_runner else '',
            forecast=expected,
            runners=tuple(
                runner
                for runner in (chosen.decode_runner, prefill_runner)
                if runner is not None
            ),
            version=one.request.version,
        )
        if self._waiting.is_put_first(one.request_id):
            self._placed_by_share.add(one.request_id)
        self._limits.take(chosen.decode_runner.runner_id, now_s)
        if prefill_runner is not None:
            self._limits.take(prefill_runner.runner_id, now_s)
        self._waiting.remove(one.request_id)
        if self._waiting.is_ranked:
            self._rank_shares.note_placed(
                urgency.rank_of(one.request), self._waiting.ranks()
            )
        self._admission.note_served(one.request, now_s)
        self._prefill.add(
            one.request, prefill_runner, chosen.decode_runner, now_s
        )
        if prefill_runner is None and self._prefill.exceeds_pause_limit(
            one.request
        ):
            self._reservations.note_long_pause(placed.decode_id)
        self._reservations.add(
            placed,
            one.request,
            sent_s=one.sent_s,
            begins_s=chosen.ready_s,
            on_time=expected.in_time,
            prefilled_s=chosen.ready_s - self._prefill.start_overhead_s
            if prefill_runner is not None
            else None,
        )
        self._fleet.update(now_s)
        if self._pace is not None:
            self._pace.note_start(placed.decode_id, now_s)
        return placed

    def _forecast(
        self,
        one: waiting_stream.WaitingStream,
        chosen: runner_selector.ChosenRunners,
        now_s: float,
    ) -> forecast.Forecast:
        decode_id = chosen.decode_runner.runner_id
        return forecast.Forecast(
            queued_s=now_s - one.sent_s - one.request.waited_s,
            first_event_s=chosen.ready_s - one.sent_s,
            in_time=one.meets_targets(chosen.ready_s),
            beside=self._reservations.stream_count(decode_id),
            pause_s=self._prefill.pause_beside_s(
                one.request, chosen.prefill_runner
            ),
            read_tokens_per_s=self._prefill.prefill_tokens_per_s(
                chosen.prefill_runner
            ),
        )

    # Rejection

    def _reject_unplaceable(
        self, now_s: float, *, full: bool
    ) -> list[placement.Rejection]:
        """Reject waiting streams that cannot be placed in time.

        Between full passes, only new streams are checked, queued behind those
        that are expected to be placed.
        """
        probe = capacity_probe.CapacityProbe(
            decode_placement=self._decode_placement, now_s=now_s
        )
        rejections = []
        ahead = 0
        late = 0
        positions = self._waiting.positions_in_rank() if full else {}
        for one in self._waiting.in_order():
            if full or not one.is_examined:
                one.is_examined = True
                limit = self._most_ahead(one, positions)
                candidates = self._fleet.candidates(one.request)
                available_s = one.request.available_from_s(candidates, now_s)
                has_free_runner = self._has_free_runner(one, probe, now_s)
                has_decode_runner = available_s < math.inf
                # A stream that turns out to be late goes behind the late
                # ones that wait already.
                start_s = max(
                    available_s,
                    self._estimate.start_s(
                        one.request,
                        min(ahead, limit),
                        has_free_runner,
                    ),
                )
                one.counts_in_queue = (
                    has_decode_runner
                    and not one.request.avoids_all(candidates)
                    and (
                        self._can_meet_target(one, start_s)
                        or (
                            one.request.goes_on
                            and not _is_too_late(one, start_s)
                        )
                    )
                )
                if not one.counts_in_queue:
                    start_s = max(
                        available_s,
                        self._estimate.start_s(
                            one.request,
                            min(ahead + late, limit),
                            has_free_runner,
                        ),
                    )
                    if (
                        not has_decode_runner
                        or self._waits_in_vain(one, now_s)
                        or _is_too_late(one, start_s)
                        or _is_too_late(one, now_s)
                    ):
                        self._estimated_waits_s[one.request_id] = (
                            start_s - now_s
                        )
                        rejections.append(self._reject(one, now_s))
                        continue
            if one.counts_in_queue:
                ahead += 1
            else:
                late += 1
        return rejections

    def _most_ahead(
        self,
        one: waiting_stream.WaitingStream,
        positions: typing.Mapping[str, int],
    ) -> int:
        """Return how many streams its rank's share lets go before a stream.

        A stream without a position is taken as the last of its rank.
        """
        if not self._waiting.is_ranked or one.request.goes_on:
            return len(self._waiting)
        position = positions.get(one.request_id)
        if position is None:
            rank = urgency.rank_of(one.request)
            position = self._waiting.size_of_rank(rank) - 1
        share = rank_shares.min_share(len(self._waiting.ranks()))
        return math.ceil((position + 1) / share)

    def _reject(
        self, one: waiting_stream.WaitingStream, now_s: float
    ) -> placement.Rejection:
        self._waiting.remove(one.request_id)
        ahead = len(self._waiting)
        rank = None
        if self._waiting.is_ranked:
            # Its caller returns late, and goes behind all that can be in time.
            rank = urgency.rank_of(one.request)
            ahead = self._waiting.count_before_late(rank)
        slot_free_s = self._estimate.slot_free_s(ahead)
        if not self._is_host_blocked(one.request, now_s):
            return self._admission.reject(one, slot_free_s, now_s, rank=rank)
        if self._decode_placement.has_free_runner(
            one.request.without_backoffs(), now_s
        ):
            slot_free_s = now_s
        return self._admission.reject(
            one, slot_free_s, now_s, host_backs_off=True
        )

    def _has_free_runner(
        self,
        one: waiting_stream.WaitingStream,
        probe: capacity_probe.CapacityProbe,
        now_s: float,
    ) -> bool:
        """Return whether a decode runner has free capacity for a stream.

        If its host has to back off from all of them, the runners are checked
        all the same: the stream is placed when the first backoff ends.
        """
        if self._is_host_blocked(one.request, now_s):
            return self._decode_placement.has_free_runner(
                one.request.without_backoffs(), now_s
            )
        if not one.fits_nowhere and probe.has_free_runner(one.request):
            return True
        return self._pace is not None and probe.may_wait_for_limit(one.request)

    def _waits_in_vain(
        self, one: waiting_stream.WaitingStream, now_s: float
    ) -> bool:
        """Return whether no runner of a stream's version is likely to come."""
        request = one.request
        return (
            request.version is not None
            and not request.has_runner
            and now_s - one.sent_s > FAILED_VERSION_WAIT_S
            and request.avoids_all(self._fleet.candidates(request))
        )

    def _is_host_blocked(
        self, request: placement.PlacementRequest, now_s: float
    ) -> bool:
        """Return whether a host has to back off from all decode runners."""
        available_s = request.available_from_s(
            self._fleet.candidates(request), now_s
        )
        return now_s < available_s < math.inf


def _is_too_late(one: waiting_stream.WaitingStream, start_s: float) -> bool:
    """Return whether a start at a time is of no use to the caller."""
    return start_s - one.sent_s > one.max_wait_s
