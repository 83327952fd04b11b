"""Settings of a stand-in runner, which simulates an engine."""

import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import trust_settings
from limpetroute.border import units


class StandinSettings(trust_settings.TrustSettings):
    """Settings of a stand-in runner."""

    # Stand-ins are used for tests only, so their port needs no token.
    demo: bool = True
    runner_id: names.Name
    role: typing.Literal['prefill', 'decode', 'service']
    zone: names.Name
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    announce_urls: list[addresses.HostUrl]
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
