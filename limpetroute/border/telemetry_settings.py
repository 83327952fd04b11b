"""Where metrics and spans go."""

import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.border import strict_model
from limpetroute.border import units


class TelemetrySettings(strict_model.StrictModel):
    """Metrics on ``/metrics``, or pushed by OTLP; spans by OTLP.

    ``sampled_share`` is the share of traces begun here that are kept;
    a caller's own trace keeps the caller's choice.
    """

    metrics: typing.Literal['prometheus', 'otlp', 'none'] = 'prometheus'
    spans: typing.Literal['otlp', 'none'] = 'none'
    otlp_url: addresses.HostUrl = 'http://127.0.0.1:4318'
    export_interval_s: units.Seconds = 10.0
    sampled_share: float = pydantic.Field(default=0.01, ge=0, le=1)
