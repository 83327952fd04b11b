"""Bodies about the slots of plain runners."""

import pydantic

from limpetroute.border import strict_model
from limpetroute.routing import plain_slot_request

MAX_NAME_CHARS = 200
# Characters of the caller's request id in that of a send.
MAX_ID_CHARS = 64
# Runners that one request may avoid.
MAX_AVOIDED = 64
MAX_SECONDS = 86_400.0

_Name = pydantic.Field(min_length=1, max_length=MAX_NAME_CHARS)
_Seconds = pydantic.Field(ge=0, le=MAX_SECONDS, allow_inf_nan=False)


class PlainSlotBody(strict_model.StrictModel):
    """``POST /v1/plain-slots``; see `PlainSlotRequest`."""

    service: str = _Name
    request_id: str = _Name
    host_id: str = _Name
    host_started_ms: int = pydantic.Field(default=0, ge=0)
    zone: str = pydantic.Field(default='', max_length=MAX_NAME_CHARS)
    avoid: tuple[str, ...] = pydantic.Field(default=(), max_length=MAX_AVOIDED)
    waited_s: float = _Seconds
    target_s: float = _Seconds
    patience_s: float = _Seconds
    priority: int = 0
    may_repeat: bool = False

    def to_request(self) -> plain_slot_request.PlainSlotRequest:
        """Return the request."""
        return plain_slot_request.PlainSlotRequest(
            service=self.service,
            request_id=self.request_id,
            host_id=self.host_id,
            host_started_ms=self.host_started_ms,
            zone=self.zone,
            avoid=frozenset(self.avoid),
            waited_s=self.waited_s,
            target_s=self.target_s,
            patience_s=self.patience_s,
            priority=self.priority,
            may_repeat=self.may_repeat,
        )


class PlainSlotGrantBody(strict_model.StrictModel):
    """Response with status 200."""

    runner_id: str = _Name


class PlainSlotRefusalBody(strict_model.StrictModel):
    """Response with status 503."""

    retry_after_s: float = _Seconds
    reason: str = pydantic.Field(max_length=MAX_NAME_CHARS)


class PlainSlotReturnBody(strict_model.StrictModel):
    """``POST /v1/plain-slots/end``; see `PlainSlotReturn`."""

    request_id: str = _Name
    runner_id: str = pydantic.Field(default='', max_length=MAX_NAME_CHARS)
    result: str = pydantic.Field(min_length=1, max_length=20)
    took_s: float = _Seconds

    def to_return(self) -> plain_slot_request.PlainSlotReturn:
        """Return the end of the slot."""
        return plain_slot_request.PlainSlotReturn(
            request_id=self.request_id,
            runner_id=self.runner_id,
            result=self.result,
            took_s=self.took_s,
        )


def send_id(request_id: str, number: int) -> str:
    """Return the identity of one send of a caller's request.

    A caller may use an identity for several requests.
    """
    return f'{request_id[:MAX_ID_CHARS]}.{number:08x}'


def caller_request_id(send_id: str) -> str:
    """Return the caller's request of a send, for log lines."""
    return send_id.rpartition('.')[0]


def from_request(
    request: plain_slot_request.PlainSlotRequest,
) -> dict[str, object]:
    """Return the fields of a `PlainSlotBody`, without defaults."""
    body = PlainSlotBody(
        service=request.service,
        request_id=request.request_id,
        host_id=request.host_id,
        host_started_ms=request.host_started_ms,
        zone=request.zone,
        avoid=tuple(sorted(request.avoid))[:MAX_AVOIDED],
        waited_s=round(min(request.waited_s, MAX_SECONDS), 4),
        target_s=round(min(request.target_s, MAX_SECONDS), 4),
        patience_s=round(min(request.patience_s, MAX_SECONDS), 4),
        priority=request.priority,
        may_repeat=request.may_repeat,
    )
    return body.model_dump(exclude_defaults=True)
