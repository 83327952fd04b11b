"""Settings for the communication between entry hosts."""

import pydantic

from limpetroute.border import addresses
from limpetroute.border import names
from limpetroute.border import strict_model
from limpetroute.border import units


class ZoneCost(strict_model.StrictModel):
    """Round-trip time between two availability zones."""

    one: names.Name
    two: names.Name
    round_trip_ms: float = pydantic.Field(ge=0)


class PeerSettings(strict_model.StrictModel):
    """How entry hosts monitor each other and share grants and records.

    Without ``voters`` a host works alone: it grants all capacity itself
    and keeps no copies of records. The list of voters and all times must
    be the same on every host.
    """

    voters: list[names.Name] = []
    url: addresses.HostUrl | None = None
    probe_period_s: units.Seconds = 2.0
    probe_timeout_s: units.Seconds = 0.4
    suspicion_s: units.Seconds = 3.0
    lease_s: units.Seconds = 6.0
    renew_s: units.Seconds = 2.0
    drift: float = pydantic.Field(default=0.01, ge=0, lt=0.5)
    grant_s: units.Seconds = 4.0
    report_delay_s: units.Seconds = 1.0
    call_timeout_s: units.Seconds = 0.5
    copy_period_s: units.Seconds = 0.1
    reap_grace_s: units.Seconds = 5.0
    takeover_wait_s: units.Seconds = 10.0
    zone_costs: list[ZoneCost] = []

    @property
    def enabled(self) -> bool:
        """Whether this host has peers."""
        return bool(self.voters)

    @pydantic.model_validator(mode='after')
    def _lease_is_longer_than_two_renewals(self) -> 'PeerSettings':
        if self.renew_s * 2 >= self.lease_s:
            raise ValueError('renew_s must be less than half of lease_s')
        return self
