"""Places streams at runners, for all entry hosts."""

import math
import typing

from limpetroute.routing import admission
from limpetroute.routing import capacity_probe
from limpetroute.routing import decode_placement
from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import forecast
from limpetroute.routing import moving_mean
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import pool_sizing
from limpetroute.routing import prefill_queue
from limpetroute.routing import reservations
from limpetroute.routing import runner_info
from limpetroute.routing import runner_limits
from limpetroute.routing import runner_selector
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.routing import wait_estimate
from limpetroute.routing import waiting_queue
from limpetroute.routing import waiting_stream

# A large stream at the head that does not fit lets smaller ones pass for
# this long; after that, room that becomes free is kept for it.
HEAD_OF_LINE_TIMEOUT_S = 0.25
# As many streams that cannot make their target any more may wait as this
# part of those that run at once; the rest are told at once when to come
# back.
LATE_WAITING_SHARE = 1 / 6
# While streams wait that can still make it, one place in this many goes
# to one that cannot: a late answer is worth a part, but not nothing.
LATE_ADMISSION_INTERVAL = 8
# All waiting streams are looked at anew this often. Between, an event is
# offered to the streams and runners that it may concern.
FULL_PASS_S = 0.05
# Room checks of one pass; what is left goes on in the next one, so that
# no pass keeps its process from other work.
MAX_FIT_CHECKS = 1000

PlacementResult = placement.Placement | placement.Rejection


class StreamScheduler:
    """Places streams at the runners of one service.

    Pattern: many entry hosts send streams to few runners. Each of them
    sees only its own, so without one place that decides they fill a
    runner beyond its slots and memory together: prompts are read for
    streams that are then refused, and others are preempted in mid-answer.

    Room at a decode runner is given before the prompt is read. Streams
    that can still make their target go first, earliest target first. In
    overload that order alone would serve each one just too late; so a
    stream whose turn cannot come in time is told so at once, and only a
    few late ones wait for what is left.

    A decision looks at what an event may have changed: a new stream at the
    runners with most free memory, a runner that a stream has left at the
    streams from the head of the queue on. At longer intervals, all
    waiting streams are looked at anew.

    Parameters
    ----------
    engine : Engine
        Places and memory of the runners.
    limits : RunnerLimits or None
        Requests a second that runners take; None for no limits.
    """

    def __init__(
        self,
        *,
        engine: service_module.Engine,
        limits: runner_limits.RunnerLimits | None = None,
    ) -> None:
        self._engine = engine
        self._limits = limits or runner_limits.RunnerLimits()
        self._reservations = reservations.Reservations(engine=engine)
        guess = stage_rates.default_rates(engine)
        self._prompt_size = moving_mean.MovingMean(guess.prompt_tokens)
        self._output_size = moving_mean.MovingMean(guess.output_tokens)
        self._prefill = prefill_queue.PrefillQueue(
            reserved=self._reservations,
            prompt_size=self._prompt_size,
        )
        self._outliers = outlier_detector.OutlierDetector(
            stream_count=self._reservations.uses
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
        )
        self._admission = admission.Admission()
        self._waiting = waiting_queue.WaitingQueue()
        self._has_new = False
        self._full_pass_s = -math.inf
        self._unfinished = False
        self._in_time_in_a_row = 0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(held={len(self._reservations)!r}, '
            f'waiting={len(self._waiting)!r})'
        )

    @property
    def reservation_count(self) -> int:
        """Number of places that are given."""
        return len(self._reservations)

    @property
    def waiting(self) -> int:
        """Number of streams that wait."""
        return len(self._waiting)

    @property
    def unfinished(self) -> bool:
        """Whether the last decision left streams to the next one."""
        return self._unfinished

    @property
    def fit_checks(self) -> int:
        """How often it was worked out whether a stream fits a runner."""
        return self._decode_placement.fit_checks

    @property
    def tokens_per_s(self) -> float:
        """How fast one stream writes, as measured."""
        return self._reservations.tokens_per_s

    @property
    def rates(self) -> stage_rates.StageRates:
        """What streams ask of runners and how fast these are."""
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

    def reset_runner(self, runner_id: str) -> None:
        """Forget a runner's earlier life; it has started again.

        It holds and knows nothing of before. Counted on, its former
        streams would keep new ones out until they expire, and failures
        of a process that is gone would keep it at rest.
        """
        self._reservations.reset_runner(runner_id)
        self._prefill.reset_runner(runner_id)
        self._outliers.reset(runner_id)

    def submit(
        self, request: placement.PlacementRequest, now_s: float
    ) -> None:
        """Take a stream; `decide` tells what it gets.

        One that asks again has given its place back, and what says so
        may come later or never.
        """
        self._drop(request.request_id)
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
        self._waiting.add(stream, self._in_time(stream, now_s))
        self._has_new = True

    def cancel(self, request_id: str) -> None:
        """Forget a stream whose caller is gone."""
        self._waiting.remove(request_id)
        self._drop(request_id)

    def note_first_event(
        self, request_id: str, attempt: int, took_s: float, now_s: float
    ) -> None:
        """Take note of the first event after a decode runner's own reading.

        ``took_s`` is the time from the send to the event.
        """
        self._prefill.note_first_event(request_id, attempt, took_s, now_s)
        self._reservations.note_first_event(request_id, now_s)

    def note_prefill_done(
        self, request_id: str, attempt: int, now_s: float
    ) -> None:
        """Take note that a prompt was read apart."""
        prefill_id = self._prefill.note_prefill_done(
            request_id, attempt, now_s
        )
        if prefill_id is not None:
            self._outliers.note_success(prefill_id)

    def release(self, end: placement.Release, now_s: float) -> None:
        """Take a place back and learn from how the stream went."""
        placed = self._reservations.release(end)
        self._prefill.drop(end.request_id, end.attempt)
        if placed is not None:
            self._admission.note_release(now_s)
        for runner_id in end.full:
            seen = self._reservations.stream_count(runner_id)
            self._outliers.note_full(
                runner_id, self._engine.slots - seen, now_s
            )
        for runner_id in end.failed:
            self._outliers.note_failure(runner_id, now_s)
        if placed is not None and end.whole and not end.failed:
            # One that its caller gave up says nothing of the runner. Of the
            # reader none does: its part was over seconds ago, and it may
            # be gone since.
            self._outliers.note_success(placed.decode_id)

    def restore(
        self,
        placed: placement.Placement,
        request: placement.PlacementRequest,
        now_s: float,
    ) -> None:
        """Take note of a place that another host gave before."""
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
        """Return what waiting streams get now.

        ``changing`` are runners that were told to change their stage:
        for some seconds they refuse all, and are announced as they were.
        """
        self._reservations.expire(now_s)
        is_changed = self._fleet.refresh(runners, changing, now_s)
        full = is_changed or now_s - self._full_pass_s >= FULL_PASS_S
        if is_changed:
            self._prefill.set_runners(
                self._fleet.prefill_runners, self._fleet.decode_runners
            )
        if full:
            self._full_pass_s = now_s
            self._waiting.sort(lambda one: self._in_time(one, now_s))
            for one in self._waiting.in_order():
                one.fits_nowhere = False
        self._estimate.refresh(len(self._waiting), now_s, full=full)
        answers: list[PlacementResult] = []
        answers.extend(self._place_waiting(now_s))
        if full or self._has_new:
            self._estimate.refresh(len(self._waiting), now_s, full=full)
            answers.extend(self._reject_hopeless(now_s, full=full))
            self._has_new = False
        return answers

    def _drop(self, request_id: str) -> None:
        attempt = self._reservations.drop(request_id)
        if attempt is not None:
            self._prefill.drop(request_id, attempt)

    def _in_time(self, one: waiting_stream.WaitingStream, at_s: float) -> bool:
        """Return whether a place given then makes the stream's target."""
        has_prefill_runner = bool(self._fleet.prefill_runners)
        needed_s = self._prefill.first_event_delay_s(
            one.request, has_prefill_runner
        )
        return one.can_meet_target(at_s, needed_s)

    # Placement

    def _place_waiting(self, now_s: float) -> list[placement.Placement]:
        self._fleet.update(now_s)
        freed = self._fleet.by_free_memory(self._reservations.take_freed())
        most_checks = self._decode_placement.fit_checks + MAX_FIT_CHECKS
        choice = runner_selector.RunnerSelector(
            prefill=self._prefill,
            decode_placement=self._decode_placement,
            fleet=self._fleet,
            freed=freed,
            now_s=now_s,
        )
        self._unfinished = False
        late_first = self._in_time_in_a_row >= LATE_ADMISSION_INTERVAL
        placements = []
        freed_tokens = choice.freed_tokens
        for one in self._waiting.in_order(late_first=late_first):
            waited_s = now_s - one.sent_s
            if one.fits_nowhere and one.tokens > freed_tokens:
                # Nothing has changed for it since it was looked at.
                if waited_s <= HEAD_OF_LINE_TIMEOUT_S:
                    continue
                chosen = None
            elif self._decode_placement.fit_checks > most_checks:
                self._unfinished = True
                break
            else:
                chosen = choice.choose(one)
            if chosen is not None:
                placements.append(self._place(one, chosen, now_s))
                freed_tokens = choice.freed_tokens
                continue
            # One that cannot be read yet waits for streams to end, not
            # for room: room that is kept free for it would stand empty.
            if waited_s > HEAD_OF_LINE_TIMEOUT_S and (
                self._estimate.can_be_prefilled(one.request)
            ):
                break
        return placements

    def _place(
        self,
        one: waiting_stream.WaitingStream,
        chosen: runner_selector.ChosenRunners,
        now_s: float,
    ) -> placement.Placement:
        if self._in_time(one, now_s):
            self._in_time_in_a_row += 1
        else:
            self._in_time_in_a_row = 0
        prefill_runner = chosen.prefill_runner
        expected = self._forecast(one, chosen, now_s)
        placed = placement.Placement(
            request_id=one.request_id,
            decode_id=chosen.decode_runner.runner_id,
            prefill_id=prefill_runner.runner_id if prefill_runner else '',
            forecast=expected,
        )
        self._limits.take(chosen.decode_runner.runner_id, now_s)
        if prefill_runner is not None:
            self._limits.take(prefill_runner.runner_id, now_s)
        self._waiting.remove(one.request_id)
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
        )
        self._fleet.update(now_s)
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

    def _reject_hopeless(
        self, now_s: float, *, full: bool
    ) -> list[placement.Rejection]:
        """Turn away at once what no place will become free for.

        Between full passes only new streams are looked at, behind those
        that were found to have a turn.
        """
        has_decode_runner = bool(self._fleet.decode_runners)
        late_limit = max(1, round(self._streams_at_once * LATE_WAITING_SHARE))
        room = capacity_probe.CapacityProbe(
            decode_placement=self._decode_placement, now_s=now_s
        )
        late_first = self._in_time_in_a_row >= LATE_ADMISSION_INTERVAL
        rejections = []
        ahead = 0
        late = 0
        for one in self._waiting.in_order(late_first=late_first):
            if full or not one.is_examined:
                one.is_examined = True
                has_free_runner = (
                    not one.fits_nowhere and room.has_free_runner(one.request)
                )
                start_s = self._estimate.start_s(
                    one.request, ahead, has_free_runner
                )
                too_late = start_s - one.sent_s > one.max_wait_s
                one.counts_in_queue = has_decode_runner and (
                    self._in_time(one, start_s)
                    or (one.request.goes_on and not too_late)
                )
                overdue = now_s - one.sent_s > one.max_wait_s
                if not one.counts_in_queue and (
                    not has_decode_runner
                    or late >= late_limit
                    or too_late
                    or overdue
                ):
                    rejections.append(self._reject(one, now_s))
                    continue
            if one.counts_in_queue:
                ahead += 1
            else:
                late += 1
        return rejections

    @property
    def _streams_at_once(self) -> float:
        """How many streams the decode runners have at once.

        Slots alone would let hundreds wait for memory until they are
        overdue, where a few dozen can be placed in time.
        """
        each = pool_sizing.concurrent_streams(self._engine, self.rates)
        return len(self._fleet.decode_runners) * each

    def _reject(
        self, one: waiting_stream.WaitingStream, now_s: float
    ) -> placement.Rejection:
        self._waiting.remove(one.request_id)
        slot_free_s = self._estimate.slot_free_s(len(self._waiting))
        return self._admission.reject(one, slot_free_s, now_s)
