"""Gives streams their places at runners, for all entry hosts."""

import dataclasses
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import decode_room
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_ask

# Used until streams have been measured; both are corrected by the first
# few that end. A step of 0.7 ms writes 1,400 tokens a second.
FIRST_TOKENS_PER_S = 1300.0
PREFILL_TOKENS_PER_S = 50_000.0
# Part of the memory that is planned for: estimates of ends are off by
# some tenths of a second, some hundred tokens a stream.
MEMORY_SHARE = 0.97
# From a grant to the first event, beside the reading: the way to the
# entry host and two runners, the transfer, the first step.
OVERHEAD_S = 0.04
# A stream waits no longer than this for a place, counted from its
# caller's send: callers leave 3.6 s after it without a first event.
LONGEST_WAIT_S = 2.4
# A large stream at the head that does not fit lets smaller ones pass for
# this long; after that, room that becomes free is kept for it.
PASSED_OVER_S = 0.25
# Prompts over this are read by a decode runner only if nothing else can:
# reading 5,000 tokens there holds its other streams up for 180 ms, and
# pauses over 300 ms make them late.
MOST_SELF_READ_TOKENS = 5500


@dataclasses.dataclass(kw_only=True, slots=True)
class _Held:
    place: stream_ask.StreamPlace
    outlook: decode_room.StreamOutlook
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    ask: stream_ask.StreamAsk
    sent_s: float

    @property
    def target_s(self) -> float:
        return self.sent_s + self.ask.target_s


class StreamDesk:
    """Gives streams their places at the runners of one service.

    Pattern: many entry hosts send streams to few runners. Each of them
    sees only its own, so without one place that decides they fill a
    runner beyond its places and memory together: prompts are read for
    streams that are then refused (566 thousand tokens and 47 of 165
    streams on a calm day), and others are preempted in mid-answer.

    Room at a decode runner is given before the prompt is read. Streams
    that can still make their target go first, earliest target first;
    those that cannot any more take what is left.

    Parameters
    ----------
    engine : Engine
        Places and memory of the runners.
    """

    def __init__(self, *, engine: service_module.Engine) -> None:
        self._engine = engine
        self._held: dict[str, _Held] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._prefill_free_s: dict[str, float] = {}
        self._tokens_per_s = FIRST_TOKENS_PER_S

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
        """Take a stream; `decide` tells what it gets."""
        self._waiting[ask.request_id] = _Waiting(
            ask=ask, sent_s=now_s - ask.waited_s
        )

    def withdraw(self, request_id: str) -> None:
        """Forget a stream whose caller is gone."""
        self._waiting.pop(request_id, None)
        self._held.pop(request_id, None)

    def end(self, end: stream_ask.StreamEnd) -> None:
        """Take a place back and learn from the stream's speed."""
        self._held.pop(end.request_id, None)
        if end.decode_s > 0.2 and end.output_tokens:
            rate = end.output_tokens / end.decode_s
            self._tokens_per_s += (rate - self._tokens_per_s) / 16

    def adopt(
        self,
        place: stream_ask.StreamPlace,
        ask: stream_ask.StreamAsk,
        now_s: float,
    ) -> None:
        """Take note of a place that another host gave before."""
        if place.request_id in self._held:
            return
        self._hold(place, ask, now_s - ask.waited_s, now_s)

    def decide(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> list[stream_ask.StreamPlace | stream_ask.StreamRefusal]:
        """Return what waiting streams get now."""
        known = [one for one in runners if one.ready]
        decoders = [
            one for one in known if one.stage is stage_module.Stage.DECODE
        ]
        readers = [
            one for one in known if one.stage is stage_module.Stage.PREFILL
        ]
        self._expire(now_s)
        answers: list[stream_ask.StreamPlace | stream_ask.StreamRefusal] = []
        for one in list(self._waiting.values()):
            if now_s - one.sent_s > LONGEST_WAIT_S or not decoders:
                answers.append(self._refuse(one, now_s))
        for one in self._in_order(now_s):
            place = self._place(one, decoders, readers, now_s)
            if place is not None:
                answers.append(place)
                continue
            if now_s - one.sent_s > PASSED_OVER_S:
                break
        return answers

    def _in_order(self, now_s: float) -> list[_Waiting]:
        def rank(one: _Waiting) -> tuple[bool, float]:
            needed_s = OVERHEAD_S + (
                one.ask.prompt_tokens / PREFILL_TOKENS_PER_S
            )
            return (now_s + needed_s > one.target_s, one.target_s)

        return sorted(self._waiting.values(), key=rank)

    def _place(
        self,
        one: _Waiting,
        decoders: list[runner_info.RunnerInfo],
        readers: list[runner_info.RunnerInfo],
        now_s: float,
    ) -> stream_ask.StreamPlace | None:
        reader = None
        if one.ask.reads_prompt:
            reader = min(
                readers,
                key=lambda runner: self._prefill_free_s.get(
                    runner.runner_id, 0.0
                ),
                default=None,
            )
        ready_s = self._ready_s(one.ask, reader, now_s)
        best = None
        best_peak = float(self._engine.memory_tokens) * MEMORY_SHARE
        for runner in decoders:
            if runner.runner_id in one.ask.avoid:
                continue
            streams = self._outlooks(runner.runner_id)
            if len(streams) >= self._engine.slots:
                continue
            streams.append(self._outlook(one.ask, ready_s))
            peak = decode_room.peak_tokens(streams, now_s)
            if peak <= best_peak:
                best, best_peak = runner, peak
        if best is None:
            return None
        place = stream_ask.StreamPlace(
            request_id=one.ask.request_id,
            decode_id=best.runner_id,
            prefill_id=reader.runner_id if reader else '',
        )
        del self._waiting[one.ask.request_id]
        if reader is not None:
            self._prefill_free_s[reader.runner_id] = ready_s - OVERHEAD_S
        self._hold(place, one.ask, one.sent_s, now_s, ready_s)
        return place

    def _ready_s(
        self,
        ask: stream_ask.StreamAsk,
        reader: runner_info.RunnerInfo | None,
        now_s: float,
    ) -> float:
        free_s = now_s
        if reader is not None:
            free_s = self._prefill_free_s.get(reader.runner_id, now_s)
        reading_s = ask.prompt_tokens / PREFILL_TOKENS_PER_S
        return max(free_s, now_s) + reading_s + OVERHEAD_S

    def _outlooks(self, runner_id: str) -> list[decode_room.StreamOutlook]:
        return [
            held.outlook
            for held in self._held.values()
            if held.place.decode_id == runner_id
        ]

    def _outlook(
        self, ask: stream_ask.StreamAsk, begins_s: float
    ) -> decode_room.StreamOutlook:
        return decode_room.StreamOutlook(
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.output_tokens,
            most_output_tokens=ask.most_output_tokens,
            begins_s=begins_s,
            tokens_per_s=self._tokens_per_s,
        )

    def _hold(
        self,
        place: stream_ask.StreamPlace,
        ask: stream_ask.StreamAsk,
        sent_s: float,
        now_s: float,
        begins_s: float | None = None,
    ) -> None:
        self._held[place.request_id] = _Held(
            place=place,
            outlook=self._outlook(
                ask, now_s if begins_s is None else begins_s
            ),
            expires_s=sent_s + ask.patience_s + 1.0,
        )

    def _expire(self, now_s: float) -> None:
        """Drop places whose entry host died without giving them back."""
        for request_id, held in list(self._held.items()):
            if now_s > held.expires_s:
                del self._held[request_id]

    def _refuse(self, one: _Waiting, now_s: float) -> stream_ask.StreamRefusal:
        del self._waiting[one.ask.request_id]
        ends_s = sorted(
            held.outlook.ends_s(now_s) for held in self._held.values()
        )
        place = min(len(self._waiting), len(ends_s) - 1)
        wait_s = ends_s[place] - now_s if ends_s else 0.0
        return stream_ask.StreamRefusal(
            request_id=one.ask.request_id,
            retry_after_s=min(max(0.3, wait_s), 4.0),
            reason='no place in time',
        )
