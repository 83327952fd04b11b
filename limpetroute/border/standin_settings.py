"""Settings of a stand-in runner."""

import typing

import pydantic

from limpetroute.border import listen_settings
from limpetroute.border import strict_model
from limpetroute.border import units


class StandinSettings(strict_model.StrictModel):
    """Settings of a stand-in runner."""

    runner_id: str
    role: typing.Literal['prefill', 'decode', 'service']
    zone: str
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    announce_urls: list[str]
    models: list[str] = []
    service: str | None = None
    slots: int = pydantic.Field(default=20, ge=1)
    kv_capacity_bytes: int = pydantic.Field(default=8 << 30, ge=1)
    kv_bytes_per_token: int = pydantic.Field(default=131072, ge=1)
    prefill_tokens_per_s: float = pydantic.Field(default=20000.0, gt=0)
    step_s: units.Seconds = 0.01
    link_bytes_per_s: float = pydantic.Field(default=10e9, gt=0)
    heartbeat_s: units.Seconds = 0.5
    result_ttl_s: units.Seconds = 0.8
    refuses_old_fence: bool = True
