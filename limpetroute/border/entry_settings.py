"""Settings of ``limpetroute entry``."""

import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import paths
from limpetroute.border import peer_settings
from limpetroute.border import record_settings
from limpetroute.border import telemetry_settings
from limpetroute.border import trust_settings
from limpetroute.border import units


class EntrySettings(trust_settings.TrustSettings):
    """Settings of ``limpetroute entry``."""

    host_id: names.Name
    zones: list[names.Name] = pydantic.Field(min_length=1)
    zone: names.Name
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    internal_listen: listen_settings.ListenSettings = (
        listen_settings.ListenSettings()
    )
    control_urls: list[addresses.HostUrl] = []
    peer_urls: list[addresses.HostUrl] = []
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
    max_received_bytes: int = pydantic.Field(default=48 << 20, ge=1 << 20)
    body_timeout_s: units.Seconds = 10.0
    drain_timeout_s: units.Seconds = 60.0
    telemetry: telemetry_settings.TelemetrySettings = (
        telemetry_settings.TelemetrySettings()
    )
    record_trace: record_settings.RecordSettings | None = None
    believe_team_header: bool = True
    state_dir: paths.FilePath | None = None
    isolation_s: units.Seconds = 10.0
    when_isolated: typing.Literal['serve_on', 'refuse'] = 'serve_on'
    peers: peer_settings.PeerSettings = peer_settings.PeerSettings()

    @pydantic.field_validator('zone')
    @classmethod
    def _zone_is_known(cls, zone: str, info: pydantic.ValidationInfo) -> str:
        zones = info.data.get('zones')
        if zones is not None and zone not in zones:
            raise ValueError(f'allowed is one of {", ".join(zones)}')
        return zone
