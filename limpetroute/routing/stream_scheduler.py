"""Gives streams their places at runners, for all entry hosts."""

import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import decode_placement
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import prefill_queue
from limpetroute.routing import reservations
from limpetroute.routing import retry_after
from limpetroute.routing import retry_tracker
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.routing import usual_size
from limpetroute.routing import wait_estimate
from limpetroute.routing import waiting_stream

# A large stream at the head that does not fit lets smaller ones pass for
# this long; after that, room that becomes free is kept for it.
HEAD_OF_LINE_TIMEOUT_S = 0.25
# Streams that cannot make their target any more may wait for a place in
# this part of all places; the rest are told at once when to come back.
LATE_PART = 1 / 6
# While streams wait that can still make it, one place in this many goes
# to one that cannot: a late answer is worth a fifth, but not nothing.
LATE_ADMISSION_INTERVAL = 8

Answer = placement.Placement | placement.Rejection


class StreamScheduler:
    """Gives streams their places at the runners of one service.

    Pattern: many entry hosts send streams to few runners. Each of them
    sees only its own, so without one place that decides they fill a
    runner beyond its places and memory together: prompts are read for
    streams that are then refused (566 thousand tokens and 47 of 165
    streams on a calm day), and others are preempted in mid-answer.

    Room at a decode runner is given before the prompt is read. Streams
    that can still make their target go first, earliest target first. In
    overload that order alone would serve each one just too late; so a
    stream whose turn cannot come in time is told so at once, and only a
    few late ones wait for what is left.

    Parameters
    ----------
    engine : Engine
        Places and memory of the runners.
    """

    def __init__(self, *, engine: service_module.Engine) -> None:
        self._engine = engine
        self._reservations = reservations.Reservations(engine=engine)
        guess = stage_rates.first_guess(engine)
        self._prompt_size = usual_size.UsualSize(guess.prompt_tokens)
        self._output_size = usual_size.UsualSize(guess.output_tokens)
        self._prefill = prefill_queue.PrefillQueue(
            held=self._reservations,
            prompt_size=self._prompt_size,
        )
        self._outliers = outlier_detector.OutlierDetector(
            uses=self._reservations.uses
        )
        self._decode_placement = decode_placement.DecodePlacement(
            engine=engine,
            held=self._reservations,
            reading=self._prefill,
            watch=self._outliers,
        )
        self._retries = retry_tracker.RetryTracker()
        self._waiting: dict[str, waiting_stream.WaitingStream] = {}
        self._retry_after = retry_after.RetryAfterEstimator()
        self._in_time_in_a_row = 0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(held={len(self._reservations)!r}, '
            f'waiting={len(self._waiting)!r})'
        )

    @property
    def held(self) -> int:
        """Number of places that are given."""
        return len(self._reservations)

    @property
    def waiting(self) -> int:
        """Number of streams that wait."""
        return len(self._waiting)

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

    def forget_runner(self, runner_id: str) -> None:
        """Forget a runner's earlier life; it has started again.

        It holds and knows nothing of before. Counted on, its former
        streams would keep new ones out until they expire, and failures
        of a process that is gone would keep it at rest.
        """
        self._reservations.forget_runner(runner_id)
        self._prefill.forget_runner(runner_id)
        self._outliers.forget(runner_id)

    def ask(self, ask: placement.PlacementRequest, now_s: float) -> None:
        """Take a stream; `decide` tells what it gets.

        One that asks again has given its place back, and what says so
        may come later or never.
        """
        self._drop(ask.request_id)
        sent_s = now_s - ask.waited_s
        first_sent_s = self._retries.first_sent_s(ask, sent_s, now_s)
        if first_sent_s == sent_s and not ask.goes_on:
            self._retry_after.note_new(now_s)
            self._prompt_size.note(ask.prompt_tokens)
            self._output_size.note(self._reservations.expected_tokens(ask))
        self._waiting[ask.request_id] = waiting_stream.WaitingStream(
            ask=ask,
            sent_s=sent_s,
            first_sent_s=first_sent_s,
        )

    def withdraw(self, request_id: str) -> None:
        """Forget a stream whose caller is gone."""
        self._waiting.pop(request_id, None)
        self._drop(request_id)

    def read(self, request_id: str, attempt: int, now_s: float) -> None:
        """Take note that a prompt was read apart."""
        reader_id = self._prefill.done(request_id, attempt, now_s)
        if reader_id is not None:
            self._outliers.went_well(reader_id)

    def end(self, end: placement.Release, now_s: float) -> None:
        """Take a place back and learn from how the stream went."""
        place = self._reservations.end(end)
        self._prefill.drop(end.request_id, end.attempt)
        if place is not None:
            self._retry_after.note_end(now_s)
        for runner_id in end.full:
            seen = len(self._reservations.outlooks(runner_id))
            self._outliers.full(runner_id, self._engine.slots - seen, now_s)
        for runner_id in end.failed:
            self._outliers.failed(runner_id, now_s)
        if place is not None and not end.failed:
            # Of the reader it says nothing new: its part was over
            # seconds ago, and it may be gone since.
            self._outliers.went_well(place.decode_id)

    def adopt(
        self,
        place: placement.Placement,
        ask: placement.PlacementRequest,
        now_s: float,
    ) -> None:
        """Take note of a place that another host gave before."""
        if place.request_id in self._reservations:
            return
        self._reservations.add(
            place, ask, sent_s=now_s - ask.waited_s, begins_s=now_s
        )

    def decide(
        self,
        runners: typing.Iterable[runner_info.RunnerInfo],
        now_s: float,
        *,
        changing: typing.Collection[str] = (),
    ) -> list[Answer]:
        """Return what waiting streams get now.

        ``changing`` are runners that were told to change their stage:
        for some seconds they refuse all, and are announced as they were.
        """
        staying = [one for one in runners if one.runner_id not in changing]
        usable = self._outliers.usable(staying, now_s)
        decoders = [
            one for one in usable if one.stage is stage_module.Stage.DECODE
        ]
        readers = [
            one for one in usable if one.stage is stage_module.Stage.PREFILL
        ]
        if decoders:
            readers = self._outliers.without_gone_readers(readers, now_s)
        self._reservations.expire(now_s)
        answers: list[Answer] = []
        answers.extend(self._give_places(decoders, readers, now_s))
        turns = wait_estimate.WaitEstimate(
            engine=self._engine,
            held=self._reservations,
            reading=self._prefill,
            decoders=decoders,
            readers=readers,
            now_s=now_s,
        )
        answers.extend(
            self._refuse_hopeless(turns, decoders, bool(readers), now_s)
        )
        return answers

    def _drop(self, request_id: str) -> None:
        attempt = self._reservations.drop(request_id)
        if attempt is not None:
            self._prefill.drop(request_id, attempt)

    # Places

    def _give_places(
        self,
        decoders: list[runner_info.RunnerInfo],
        readers: list[runner_info.RunnerInfo],
        now_s: float,
    ) -> list[placement.Placement]:
        places = []
        has_reader = bool(readers)
        for one in self._in_order(now_s, has_reader):
            place = self._place(one, decoders, readers, now_s)
            if place is not None:
                self._count_turn(one, now_s, has_reader)
                places.append(place)
                continue
            if not self._prefill.can_be_read(one.ask, decoders, readers):
                # It waits for streams to end, not for room: kept free
                # for it, four of twelve places stood empty for 2.7 s.
                continue
            if now_s - one.sent_s > HEAD_OF_LINE_TIMEOUT_S:
                break
        return places

    def _in_order(
        self, now_s: float, has_reader: bool
    ) -> list[waiting_stream.WaitingStream]:
        begun = []
        in_time = []
        late = []
        for one in self._waiting.values():
            if one.ask.goes_on:
                begun.append(one)
            elif self._in_time(one, now_s, has_reader):
                in_time.append(one)
            else:
                late.append(one)
        # A stream that was begun is lost with all that was written for it
        # unless it goes on soon: before all others.
        begun.sort(key=lambda one: one.sent_s)
        # One that may be sent only once comes back to nothing: first.
        in_time.sort(key=lambda one: (one.ask.may_repeat, one.target_s))
        late.sort(key=lambda one: one.sent_s)
        if late and self._in_time_in_a_row >= LATE_ADMISSION_INTERVAL:
            return [*begun, late[0], *in_time, *late[1:]]
        return [*begun, *in_time, *late]

    def _in_time(
        self,
        one: waiting_stream.WaitingStream,
        at_s: float,
        has_reader: bool,
    ) -> bool:
        """Return whether a place given then makes the stream's target."""
        needed_s = self._prefill.to_first_event_s(one.ask, has_reader)
        return one.in_time(at_s, needed_s)

    def _count_turn(
        self,
        one: waiting_stream.WaitingStream,
        now_s: float,
        has_reader: bool,
    ) -> None:
        if self._in_time(one, now_s, has_reader):
            self._in_time_in_a_row += 1
        else:
            self._in_time_in_a_row = 0

    def _place(
        self,
        one: waiting_stream.WaitingStream,
        decoders: list[runner_info.RunnerInfo],
        readers: list[runner_info.RunnerInfo],
        now_s: float,
    ) -> placement.Placement | None:
        reader = self._prefill.reader(one.ask, readers, now_s)
        ready_s = self._prefill.ready_s(one.ask, reader, now_s)
        if reader is not None and not self._prefill.may_queue(reader, now_s):
            # Writers have room, and the prompt waits for the readers: a
            # burst, or one of the readers is lost. A writer that reads it
            # by itself is slower, but sooner done.
            by_writer_s = self._prefill.ready_s(one.ask, None, now_s)
            if by_writer_s >= ready_s or not self._prefill.writers_read_well:
                return None
            reader = None
            ready_s = by_writer_s
        best = self._decode_placement.best(
            one.ask, decoders, reader, ready_s, now_s
        )
        if best is None:
            return None
        place = placement.Placement(
            request_id=one.ask.request_id,
            decode_id=best.runner_id,
            prefill_id=reader.runner_id if reader else '',
        )
        del self._waiting[one.ask.request_id]
        self._retries.served(one.ask)
        self._prefill.take(one.ask, reader, best, now_s)
        self._reservations.add(
            place, one.ask, sent_s=one.sent_s, begins_s=ready_s
        )
        return place

    # Refusals

    def _refuse_hopeless(
        self,
        turns: wait_estimate.WaitEstimate,
        decoders: list[runner_info.RunnerInfo],
        has_reader: bool,
        now_s: float,
    ) -> list[placement.Rejection]:
        """Refuse at once what no place will become free for."""
        places = len(decoders) * self._engine.slots
        late_room = max(1, round(places * LATE_PART))
        refusals = []
        ahead = 0
        late = 0
        for one in self._in_order(now_s, has_reader):
            turn_s = turns.turn_s(one.ask, ahead)
            waits_too_long = turn_s - one.sent_s > one.longest_s
            if decoders and (
                self._in_time(one, turn_s, has_reader)
                or (one.ask.goes_on and not waits_too_long)
            ):
                ahead += 1
                continue
            overdue = now_s - one.sent_s > one.longest_s
            if not decoders or late >= late_room or waits_too_long or overdue:
                refusals.append(self._refuse(one, turns, now_s))
                continue
            late += 1
        return refusals

    def _refuse(
        self,
        one: waiting_stream.WaitingStream,
        turns: wait_estimate.WaitEstimate,
        now_s: float,
    ) -> placement.Rejection:
        del self._waiting[one.ask.request_id]
        self._retries.note(one.ask, one.first_sent_s, now_s)
        turn_s = turns.place_s(len(self._waiting))
        wait_s = self._retry_after.retry_after_s(
            place_s=turn_s - now_s,
            expected_back=self._retries.expected(now_s) - 1,
            patience_s=one.ask.patience_s - (now_s - one.sent_s),
            now_s=now_s,
        )
        return placement.Rejection(
            request_id=one.ask.request_id,
            retry_after_s=wait_s,
            reason='no place in time',
        )
