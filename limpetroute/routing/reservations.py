"""The places that are given, and how long their streams last."""

import dataclasses
import math

from limpetroute.routing import decode_room
from limpetroute.routing import length_estimate
from limpetroute.routing import memory_headroom
from limpetroute.routing import placement
from limpetroute.routing import service as service_module
from limpetroute.routing import stage_rates
from limpetroute.routing import usual_size

# Ends shorter than this say little of a stream's speed.
LEAST_MEASURED_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Held:
    place: placement.Placement
    ask: placement.PlacementRequest
    outlook: decode_room.StreamOutlook
    expires_s: float


class Reservations:
    """The places that are given, and how long their streams last.

    Parameters
    ----------
    engine : Engine
        Places and memory of the runners.
    """

    def __init__(self, *, engine: service_module.Engine) -> None:
        self._engine = engine
        self._held: dict[str, _Held] = {}
        self._lengths = length_estimate.LengthEstimate()
        first_error = stage_rates.first_guess(engine).deviation_tokens
        self._square_error = usual_size.UsualSize(first_error * first_error)
        self._speed = usual_size.UsualSize(
            stage_rates.first_write_tokens_per_s(engine)
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(held={len(self._held)!r})'

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._held

    @property
    def tokens_per_s(self) -> float:
        """How fast one stream writes, as measured."""
        return self._speed.mean

    @property
    def event_s(self) -> float:
        """Usual time between two events of a stream."""
        return self._engine.tokens_per_event / self._speed.mean

    @property
    def deviation_tokens(self) -> float:
        """How far answers are from what was expected of them."""
        return math.sqrt(self._square_error.mean)

    def room_tokens(self, streams: int) -> float:
        """Return the memory of a runner with so many streams to plan for."""
        return memory_headroom.room_tokens(
            self._engine.memory_tokens, streams, self.deviation_tokens
        )

    def add(
        self,
        place: placement.Placement,
        ask: placement.PlacementRequest,
        *,
        sent_s: float,
        begins_s: float,
    ) -> None:
        """Take note of a place that is given."""
        self._held[place.request_id] = _Held(
            place=place,
            ask=ask,
            outlook=self.outlook(ask, begins_s),
            expires_s=sent_s + ask.patience_s + 1.0,
        )

    def drop(self, request_id: str) -> int | None:
        """Forget a place, with nothing learned, and return its attempt."""
        held = self._held.pop(request_id, None)
        return held.ask.attempt if held is not None else None

    def end(self, end: placement.Release) -> placement.Placement | None:
        """Take a place back, learn from its stream, and return it.

        Returns
        -------
        Placement or None
            None where the place was taken back before; what says so was
            overtaken by the next ask under the same id.
        """
        if end.decode_s > LEAST_MEASURED_S and end.output_tokens:
            self._speed.note(end.output_tokens / end.decode_s)
        held = self._held.get(end.request_id)
        if held is None or held.ask.attempt != end.attempt:
            return None
        del self._held[end.request_id]
        if end.whole and not held.ask.goes_on:
            error = end.output_tokens - held.outlook.output_tokens
            self._square_error.note(error * error)
            self._lengths.learn(
                said_tokens=held.ask.output_tokens,
                came_tokens=end.output_tokens,
            )
        return held.place

    def expire(self, now_s: float) -> None:
        """Drop places whose entry host died without giving them back."""
        for request_id, held in list(self._held.items()):
            if now_s > held.expires_s:
                del self._held[request_id]

    def forget_runner(self, runner_id: str) -> None:
        """Drop the places at a runner that has started again.

        Its streams are over. Their ends come from their hosts, some of
        them after the first new streams are placed there.
        """
        for request_id, held in list(self._held.items()):
            if held.place.decode_id == runner_id:
                del self._held[request_id]

    def uses(self, runner_id: str) -> int:
        """Return how many streams read or write at a runner."""
        return sum(
            runner_id in (held.place.decode_id, held.place.prefill_id)
            for held in self._held.values()
        )

    def outlooks(self, runner_id: str) -> list[decode_room.StreamOutlook]:
        """Return the outlooks of the streams that a runner writes."""
        return [
            held.outlook
            for held in self._held.values()
            if held.place.decode_id == runner_id
        ]

    def ends_s(self, now_s: float) -> list[float]:
        """Return when places become free, in order."""
        return sorted(
            max(now_s, held.outlook.ends_s(now_s))
            for held in self._held.values()
        )

    def expected_tokens(self, ask: placement.PlacementRequest) -> int:
        """Return how long a stream's whole answer should become."""
        return self._lengths.tokens(
            said_tokens=ask.output_tokens,
            most_tokens=ask.most_output_tokens,
        )

    def outlook(
        self, ask: placement.PlacementRequest, begins_s: float
    ) -> decode_room.StreamOutlook:
        """Return how a stream's memory grows if it begins then."""
        expected = self.expected_tokens(ask)
        written = ask.written_tokens
        return decode_room.StreamOutlook(
            prompt_tokens=ask.tokens_to_read,
            output_tokens=max(0, expected - written),
            most_output_tokens=max(0, ask.most_output_tokens - written),
            begins_s=begins_s,
            tokens_per_s=self._speed.mean,
        )

    def peak_with(
        self,
        runner_id: str,
        ask: placement.PlacementRequest,
        *,
        begins_s: float,
        now_s: float,
    ) -> float:
        """Return the most memory a runner's streams take with another."""
        streams = self.outlooks(runner_id)
        streams.append(self.outlook(ask, begins_s))
        return decode_room.peak_tokens(streams, now_s)
