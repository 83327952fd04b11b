"""Settings of the export of metrics and spans."""

import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.border import strict_model
from limpetroute.border import units


class TelemetrySettings(strict_model.StrictModel):
    """Export of metrics over ``/metrics`` or OTLP, and of spans over OTLP.

    ``sampled_share`` is the share of the traces started by this process
    that are sampled. A trace started by a caller keeps its sampling flag.
    """

    metrics: typing.Literal['prometheus', 'otlp', 'none'] = 'prometheus'
    spans: typing.Literal['otlp', 'none'] = 'none'
    otlp_url: addresses.HostUrl = 'http://127.0.0.1:4318'
    export_interval_s: units.Seconds = 10.0
    sampled_share: float = pydantic.Field(default=0.01, ge=0, le=1)
