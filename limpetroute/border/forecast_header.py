"""The forecast of a placement, in a header of the leader's response.

It is not in the body because entry hosts of earlier releases reject a body
with unknown fields, and would then place the stream locally.
"""

import dataclasses
import json

import pydantic

from limpetroute.routing import forecast

NAME = 'Limpetroute-Forecast'


class _ForecastBody(pydantic.BaseModel):
    """See `Forecast`; fields that later releases add are ignored."""

    queued_s: float
    first_event_s: float
    in_time: bool
    beside: int
    pause_s: float
    read_tokens_per_s: float


def encode(expected: forecast.Forecast) -> str:
    """Return the text of the header."""
    return json.dumps(dataclasses.asdict(expected))


def decode(text: str | None) -> forecast.Forecast | None:
    """Return the forecast in a header, or None without a header.

    Raises
    ------
    ValueError
        If the header contains no valid forecast.
    """
    if text is None:
        return None
    body = _ForecastBody.model_validate_json(text)
    return forecast.Forecast(**body.model_dump())
