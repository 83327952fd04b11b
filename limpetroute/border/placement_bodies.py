"""Request bodies about the placements of streams."""

import pydantic

from limpetroute.border import strict_model
from limpetroute.routing import placement


class PlacementRequestBody(strict_model.StrictModel):
    """See `PlacementRequest`."""

    request_id: str
    service: str
    prompt_tokens: int
    output_tokens: int
    most_output_tokens: int
    waited_s: float
    target_s: float
    patience_s: float
    goes_on: bool = False
    written_tokens: int = 0
    reads_prompt: bool
    may_repeat: bool = True
    zone: str = ''
    prompt_id: str = ''
    attempt: int = 0
    avoid: tuple[str, ...] = ()
    pause_target_s: float | None = None
    silence_s: float = placement.DEFAULT_SILENCE_S
    team: str = ''
    quota_cost: pydantic.NonNegativeFloat = 0.0
    priority: int = 0

    def to_request(self) -> placement.PlacementRequest:
        """Return the placement request."""
        return placement.PlacementRequest(**self.model_dump())


class ReleaseBody(strict_model.StrictModel):
    """See `Release`."""

    service: str
    request_id: str
    attempt: int = 0
    output_tokens: int = 0
    decode_s: float = 0.0
    failed: tuple[str, ...] = ()
    full: tuple[str, ...] = ()
    whole: bool = False

    def to_release(self) -> placement.Release:
        """Return the release."""
        return placement.Release(
            request_id=self.request_id,
            attempt=self.attempt,
            output_tokens=self.output_tokens,
            decode_s=self.decode_s,
            failed=self.failed,
            full=self.full,
            whole=self.whole,
        )


class PrefillDoneBody(strict_model.StrictModel):
    """A prefill runner has finished the prefill for this attempt."""

    service: str
    request_id: str
    attempt: int


class FirstEventBody(strict_model.StrictModel):
    """A decode runner has prefilled a prompt and sent the first event."""

    service: str
    request_id: str
    attempt: int
    took_s: pydantic.NonNegativeFloat


class ReservationBody(strict_model.StrictModel):
    """A reservation that an entry host holds."""

    decode_id: str
    prefill_id: str
    asked: PlacementRequestBody

    def to_placement(self) -> placement.Placement:
        """Return the placement that is reserved."""
        return placement.Placement(
            request_id=self.asked.request_id,
            decode_id=self.decode_id,
            prefill_id=self.prefill_id,
        )


class ReservationsBody(strict_model.StrictModel):
    """All reservations that an entry host holds."""

    held: list[ReservationBody]
