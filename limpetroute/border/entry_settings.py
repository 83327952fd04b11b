"""Settings of ``limpetroute entry``."""

import pydantic

from limpetroute.border import listen_settings
from limpetroute.border import strict_model
from limpetroute.border import units


class EntrySettings(strict_model.StrictModel):
    """Settings of ``limpetroute entry``."""

    host_id: str
    zone: str
    zones: list[str]
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    internal_listen: listen_settings.ListenSettings = (
        listen_settings.ListenSettings()
    )
    control_urls: list[str] = []
    peer_urls: list[str] = []
    runner_timeout_s: units.Seconds = 3.0
    first_token_s: units.Seconds = 1.0
    token_gap_s: units.Seconds = 0.031
    prefill_timeout_s: units.Seconds = 30.0
    transfer_timeout_s: units.Seconds = 2.0
    token_timeout_s: units.Seconds = 5.0
    resume_grace_s: units.Seconds = 5.0
    retain_s: units.Seconds = 300.0
    write_stall_s: units.Seconds = 10.0
    keep_alive_s: units.Seconds = 5.0
    max_buffer_bytes: int = pydantic.Field(default=262144, ge=4096)
    max_body_bytes: int = pydantic.Field(default=4 << 20, ge=1024)
    body_timeout_s: units.Seconds = 10.0
    drain_timeout_s: units.Seconds = 60.0
    believe_team_header: bool = True

    @pydantic.model_validator(mode='after')
    def _zone_is_known(self) -> 'EntrySettings':
        if self.zone not in self.zones:
            allowed = ', '.join(self.zones)
            raise ValueError(f'zone: {self.zone!r} is not one of {allowed}')
        return self
