"""The forecast of a placement, in a header of the leader's answer.

Not in the body: entry hosts of earlier releases refuse one with fields that
they do not know, and would place the stream by themselves.
"""

import dataclasses
import json

import pydantic

from limpetroute.routing import forecast

NAME = 'Limpetroute-Forecast'


class _ForecastBody(pydantic.BaseModel):
    """See `Forecast`; what a later release adds is left out."""

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
    """Return what a header says; None without one.

    Raises
    ------
    ValueError
        If it says something else.
    """
    if text is None:
        return None
    body = _ForecastBody.model_validate_json(text)
    return forecast.Forecast(**body.model_dump())
