"""Gives streams their places at runners, for all entry hosts."""

import dataclasses
import math
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import decode_room
from limpetroute.routing import length_estimate
from limpetroute.routing import return_book
from limpetroute.routing import runner_info
from limpetroute.routing import runner_watch
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_ask
from limpetroute.routing import stream_times

# Used until streams have been measured; corrected by the first few that
# end. A step of 0.7 ms writes 1,400 tokens a second.
FIRST_TOKENS_PER_S = 1300.0
# Ends shorter than this say little of a stream's speed.
LEAST_MEASURED_S = 0.2
# Two prompts read by a decode runner within one event of its streams make
# that event's pause too long: 5,000 tokens hold it up for 180 ms, an
# event takes 50 ms without, and pauses over 300 ms are late.
SELF_READ_PAUSE_S = 0.1
# A prompt of the mean size and the pause after it.
SELF_READ_EACH_S = 0.3
# Longer prompts, read by a decode runner, hold each of its streams up
# beyond 300 ms (measured: 6,500 tokens 325 ms, 11,000 tokens 466 ms).
# With more than a few streams there, more is lost than gained.
LONGEST_SELF_READ_TOKENS = 5500
FEW_STREAMS = 3
# Part of the memory that is planned for: answers differ from what is
# expected by a third, some 1,500 tokens each. Played for 160 s with
# memory for 78,000 tokens: 0.97 gives 347 places and overflows 44 times,
# 0.90 gives 327 and 8, 0.85 gives 316 and 3; an overflow costs a prompt
# read again and two streams' targets.
MEMORY_SHARE = 0.9
# Part of the memory by which a runner of the caller's zone may be fuller
# than another one and still be taken: an answer is 24 KB that would be
# paid for between zones. A stream takes 4 to 8 % of a runner.
NEAR_SHARE = 0.08
# A stream waits no longer than this for a place, counted from its
# caller's send: callers leave 3.6 s after it without a first event.
LONGEST_WAIT_S = 2.4
# A large stream at the head that does not fit lets smaller ones pass for
# this long; after that, room that becomes free is kept for it.
PASSED_OVER_S = 0.25
# Streams that cannot make their target any more may wait for a place in
# this part of all places; the rest are told at once when to come back.
LATE_PART = 1 / 6
# While streams wait that can still make it, one place in this many goes
# to one that cannot: a late answer is worth a fifth, but not nothing.
LATE_EVERY = 8
MIN_RETRY_AFTER_S = 0.3
# With more streams than places for seconds on end, whoever comes back
# when one place ends meets as many others as before. A shortage that has
# lasted for a while is expected to last as long again.
MAX_RETRY_AFTER_S = 15.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Held:
    place: stream_ask.StreamPlace
    ask: stream_ask.StreamAsk
    outlook: decode_room.StreamOutlook
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    ask: stream_ask.StreamAsk
    sent_s: float
    first_sent_s: float

    @property
    def target_s(self) -> float:
        return self.first_sent_s + self.ask.target_s


class StreamDesk:
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
        self._held: dict[str, _Held] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._free_s: dict[str, float] = {}
        self._watch = runner_watch.RunnerWatch(uses=self._uses)
        self._lengths = length_estimate.LengthEstimate()
        self._returns = return_book.ReturnBook()
        self._short_since_s = 0.0
        self._tokens_per_s = FIRST_TOKENS_PER_S
        self._in_time_in_a_row = 0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(held={len(self._held)!r}, '
            f'waiting={len(self._waiting)!r})'
        )

    @property
    def held(self) -> int:
        """Number of places that are given."""
        return len(self._held)

    @property
    def waiting(self) -> int:
        """Number of streams that wait."""
        return len(self._waiting)

    @property
    def tokens_per_s(self) -> float:
        """How fast one stream writes, as measured."""
        return self._tokens_per_s

    def ask(self, ask: stream_ask.StreamAsk, now_s: float) -> None:
        """Take a stream; `decide` tells what it gets.

        One that asks again has given its place back, and what says so
        may come later or never.
        """
        self._held.pop(ask.request_id, None)
        sent_s = now_s - ask.waited_s
        self._waiting[ask.request_id] = _Waiting(
            ask=ask,
            sent_s=sent_s,
            first_sent_s=self._returns.first_sent_s(ask, sent_s, now_s),
        )

    def withdraw(self, request_id: str) -> None:
        """Forget a stream whose caller is gone."""
        self._waiting.pop(request_id, None)
        self._held.pop(request_id, None)

    def end(self, end: stream_ask.StreamEnd, now_s: float) -> None:
        """Take a place back and learn from how the stream went."""
        held = self._held.get(end.request_id)
        if held is not None and held.ask.attempt != end.attempt:
            # It is about an earlier place, and was overtaken.
            held = None
        if held is not None:
            del self._held[end.request_id]
        if end.decode_s > LEAST_MEASURED_S and end.output_tokens:
            rate = end.output_tokens / end.decode_s
            self._tokens_per_s += (rate - self._tokens_per_s) / 16
        if end.whole and held is not None and not held.ask.goes_on:
            self._lengths.learn(
                said_tokens=held.ask.output_tokens,
                came_tokens=end.output_tokens,
            )
        for runner_id in end.full:
            seen = len(self._outlooks(runner_id))
            self._watch.full(runner_id, self._engine.slots - seen, now_s)
        for runner_id in end.failed:
            self._watch.failed(runner_id, now_s)
        if held is not None and not end.failed:
            self._watch.went_well(held.place.decode_id)
            self._watch.went_well(held.place.prefill_id)

    def adopt(
        self,
        place: stream_ask.StreamPlace,
        ask: stream_ask.StreamAsk,
        now_s: float,
    ) -> None:
        """Take note of a place that another host gave before."""
        if place.request_id in self._held:
            return
        self._hold(place, ask, now_s - ask.waited_s, begins_s=now_s)

    def decide(
        self,
        runners: typing.Iterable[runner_info.RunnerInfo],
        now_s: float,
        *,
        changing: typing.Collection[str] = (),
    ) -> list[stream_ask.StreamPlace | stream_ask.StreamRefusal]:
        """Return what waiting streams get now.

        ``changing`` are runners that were told to change their stage:
        for some seconds they refuse all, and are announced as they were.
        """
        staying = [one for one in runners if one.runner_id not in changing]
        usable = self._watch.usable(staying, now_s)
        decoders = [
            one for one in usable if one.stage is stage_module.Stage.DECODE
        ]
        readers = [
            one for one in usable if one.stage is stage_module.Stage.PREFILL
        ]
        self._expire(now_s)
        answers: list[stream_ask.StreamPlace | stream_ask.StreamRefusal] = []
        for one in self._in_order(now_s, bool(readers)):
            place = self._place(one, decoders, readers, now_s)
            if place is not None:
                self._count_turn(one, now_s, bool(readers))
                answers.append(place)
                continue
            if now_s - one.sent_s > PASSED_OVER_S:
                break
        if not self._waiting:
            self._short_since_s = now_s
        answers.extend(self._refuse_hopeless(decoders, readers, now_s))
        return answers

    def _uses(self, runner_id: str) -> int:
        return sum(
            runner_id in (held.place.decode_id, held.place.prefill_id)
            for held in self._held.values()
        )

    def _in_time(self, one: _Waiting, at_s: float, has_reader: bool) -> bool:
        needed_s = stream_times.to_first_event_s(
            one.ask, has_reader=has_reader
        )
        return at_s + needed_s <= one.target_s

    def _in_order(self, now_s: float, has_reader: bool) -> list[_Waiting]:
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
        if late and self._in_time_in_a_row >= LATE_EVERY:
            return [*begun, late[0], *in_time, *late[1:]]
        return [*begun, *in_time, *late]

    def _count_turn(
        self, one: _Waiting, now_s: float, has_reader: bool
    ) -> None:
        if self._in_time(one, now_s, has_reader):
            self._in_time_in_a_row += 1
        else:
            self._in_time_in_a_row = 0

    def _place(
        self,
        one: _Waiting,
        decoders: list[runner_info.RunnerInfo],
        readers: list[runner_info.RunnerInfo],
        now_s: float,
    ) -> stream_ask.StreamPlace | None:
        reader = self._reader(one.ask, readers)
        best = None
        best_ready_s = 0.0
        best_rank = 0.0
        room = float(self._engine.memory_tokens) * MEMORY_SHARE
        for runner in decoders:
            if runner.runner_id in one.ask.avoid:
                continue
            if self._may_not_read(one.ask, reader, runner, now_s):
                continue
            streams = self._outlooks(runner.runner_id)
            hidden = self._watch.hidden(runner.runner_id, now_s)
            if len(streams) + hidden >= self._engine.slots:
                continue
            ready_s = self._ready_s(one.ask, reader, now_s)
            streams.append(self._outlook(one.ask, ready_s))
            peak = decode_room.peak_tokens(streams, now_s)
            if peak > room:
                continue
            rank = room - peak
            if runner.zone == one.ask.zone:
                rank += room * NEAR_SHARE
            if best is None or rank > best_rank:
                best, best_rank, best_ready_s = runner, rank, ready_s
        if best is None:
            return None
        place = stream_ask.StreamPlace(
            request_id=one.ask.request_id,
            decode_id=best.runner_id,
            prefill_id=reader.runner_id if reader else '',
        )
        del self._waiting[one.ask.request_id]
        self._returns.served(one.ask)
        reading = reader or best
        self._free_s[reading.runner_id] = (
            best_ready_s - stream_times.OVERHEAD_S
        )
        if reader is None:
            self._free_s[reading.runner_id] += SELF_READ_PAUSE_S
        self._hold(place, one.ask, one.sent_s, begins_s=best_ready_s)
        return place

    def _reader(
        self,
        ask: stream_ask.StreamAsk,
        readers: list[runner_info.RunnerInfo],
    ) -> runner_info.RunnerInfo | None:
        if not ask.reads_prompt:
            return None
        return min(
            readers,
            key=lambda runner: self._free_s.get(runner.runner_id, 0.0),
            default=None,
        )

    def _may_not_read(
        self,
        ask: stream_ask.StreamAsk,
        reader: runner_info.RunnerInfo | None,
        runner: runner_info.RunnerInfo,
        now_s: float,
    ) -> bool:
        """Return whether a decode runner must not read this prompt now.

        Its own streams stand still while it reads: it takes one prompt
        at a time, and a long one only while it has few streams.
        """
        beside = len(self._outlooks(runner.runner_id))
        if reader is not None or not beside:
            return False
        is_long = ask.tokens_to_read > LONGEST_SELF_READ_TOKENS
        if is_long and beside > FEW_STREAMS:
            return True
        return self._free_s.get(runner.runner_id, 0.0) > now_s

    def _ready_s(
        self,
        ask: stream_ask.StreamAsk,
        reader: runner_info.RunnerInfo | None,
        now_s: float,
    ) -> float:
        free_s = now_s
        if reader is not None:
            free_s = max(now_s, self._free_s.get(reader.runner_id, now_s))
        return free_s + stream_times.to_first_event_s(
            ask, has_reader=reader is not None
        )

    def _outlooks(self, runner_id: str) -> list[decode_room.StreamOutlook]:
        return [
            held.outlook
            for held in self._held.values()
            if held.place.decode_id == runner_id
        ]

    def _outlook(
        self, ask: stream_ask.StreamAsk, begins_s: float
    ) -> decode_room.StreamOutlook:
        expected = self._lengths.tokens(
            said_tokens=ask.output_tokens,
            most_tokens=ask.most_output_tokens,
        )
        written = ask.written_tokens
        return decode_room.StreamOutlook(
            prompt_tokens=ask.tokens_to_read,
            output_tokens=max(0, expected - written),
            most_output_tokens=max(0, ask.most_output_tokens - written),
            begins_s=begins_s,
            tokens_per_s=self._tokens_per_s,
        )

    def _hold(
        self,
        place: stream_ask.StreamPlace,
        ask: stream_ask.StreamAsk,
        sent_s: float,
        *,
        begins_s: float,
    ) -> None:
        self._held[place.request_id] = _Held(
            place=place,
            ask=ask,
            outlook=self._outlook(ask, begins_s),
            expires_s=sent_s + ask.patience_s + 1.0,
        )

    def _expire(self, now_s: float) -> None:
        """Drop places whose entry host died without giving them back."""
        for request_id, held in list(self._held.items()):
            if now_s > held.expires_s:
                del self._held[request_id]

    # Refusals

    def _refuse_hopeless(
        self,
        decoders: list[runner_info.RunnerInfo],
        readers: list[runner_info.RunnerInfo],
        now_s: float,
    ) -> list[stream_ask.StreamRefusal]:
        """Refuse at once what no place will become free for."""
        places = len(decoders) * self._engine.slots
        late_room = max(1, round(places * LATE_PART))
        ends_s = self._ends_s(now_s)
        refusals = []
        ahead = 0
        late = 0
        for one in self._in_order(now_s, bool(readers)):
            turn_s = self._turn_s(ends_s, ahead, now_s)
            if not readers:
                read_s = self._read_turn_s(one.ask, decoders, ahead, now_s)
                turn_s = min(turn_s, read_s)
            longest_s = (
                stream_times.LONGEST_PAUSE_S
                if one.ask.goes_on
                else LONGEST_WAIT_S
            )
            waits_too_long = turn_s - one.sent_s > longest_s
            if decoders and (
                self._in_time(one, turn_s, bool(readers))
                or (one.ask.goes_on and not waits_too_long)
            ):
                ahead += 1
                continue
            overdue = now_s - one.sent_s > longest_s
            if not decoders or late >= late_room or waits_too_long or overdue:
                refusals.append(self._refuse(one, ends_s, now_s))
                continue
            late += 1
        return refusals

    def _ends_s(self, now_s: float) -> list[float]:
        return sorted(
            max(now_s, held.outlook.ends_s(now_s))
            for held in self._held.values()
        )

    def _turn_s(self, ends_s: list[float], ahead: int, now_s: float) -> float:
        """Return when the place after those ahead becomes free."""
        if ahead < len(ends_s):
            return ends_s[ahead]
        return ends_s[-1] if ends_s else now_s

    def _read_turn_s(
        self,
        ask: stream_ask.StreamAsk,
        decoders: list[runner_info.RunnerInfo],
        ahead: int,
        now_s: float,
    ) -> float:
        """Return when a decode runner with room may read a prompt.

        Such a runner has places, but reads one prompt at a time: it is
        waited for, not for the end of one of its streams.
        """
        soonest_s = []
        for runner in decoders:
            streams = self._outlooks(runner.runner_id)
            beside = len(streams)
            is_long = ask.tokens_to_read > LONGEST_SELF_READ_TOKENS
            if runner.runner_id in ask.avoid:
                continue
            if beside >= self._engine.slots:
                continue
            if is_long and beside > FEW_STREAMS:
                continue
            streams.append(self._outlook(ask, now_s))
            peak = decode_room.peak_tokens(streams, now_s)
            if peak > self._engine.memory_tokens * MEMORY_SHARE:
                continue
            free_s = self._free_s.get(runner.runner_id, now_s)
            soonest_s.append(max(now_s, free_s))
        if not soonest_s:
            return math.inf
        each_s = SELF_READ_EACH_S / len(soonest_s)
        return min(soonest_s) + ahead * each_s

    def _refuse(
        self, one: _Waiting, ends_s: list[float], now_s: float
    ) -> stream_ask.StreamRefusal:
        del self._waiting[one.ask.request_id]
        self._returns.note(one.ask, one.first_sent_s, now_s)
        turn_s = self._turn_s(ends_s, len(self._waiting), now_s)
        lasted_s = now_s - self._short_since_s
        wait_s = max(MIN_RETRY_AFTER_S, turn_s - now_s, lasted_s)
        return stream_ask.StreamRefusal(
            request_id=one.ask.request_id,
            retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
            reason='no place in time',
        )
