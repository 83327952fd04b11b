"""Settings of ``limpetroute forward``."""

import pydantic

from limpetroute.border import addresses
from limpetroute.border import balancing_settings
from limpetroute.border import connection_settings
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import quota_settings
from limpetroute.border import strict_model
from limpetroute.border import trust_settings
from limpetroute.border import units

# Beside 33 MB of the process and 32 MiB of answers, on a host of 150 MB.
MAX_BODIES_BYTES = 80 << 20


class RetryBudgetSettings(strict_model.StrictModel):
    """Bound on all hosts' retries to one service; see `RetryBudget`."""

    ratio: float = pydantic.Field(default=0.2, ge=0)
    slack: float = pydantic.Field(default=10.0, ge=0)
    window_s: units.Seconds = 10.0


class ForwarderSettings(trust_settings.TrustSettings):
    """Settings of ``limpetroute forward``.

    Parameters
    ----------
    callers, ready, metrics : ListenSettings
        Addresses that serve callers, the load balancer's readiness checks
        and metrics.
    peers : ListenSettings or None
        Address that serves the other entry hosts; None to pass no requests
        between entry hosts.
    seeds : list of str
        ``IP:PORT`` of control hosts; reloaded when the file changes.
    control_port : int
        Port at which control hosts serve other hosts.
    grace_s : float
        Time from SIGTERM until the process is killed.
    send_budget : RetryBudgetSettings
        Bound on retries.
    quotas : QuotaSettings
        How teams' quotas are kept.
    balancing : BalancingSettings
        How the load is balanced; ``local`` here keeps this host by itself.
    max_bodies_bytes : int
        Maximum size of the bodies of all open requests together. A request
        whose body does not fit is refused.
    capacity : CapacitySettings
        Processor capacity of this host.
    connections : ConnectionSettings
        How connections to runners and to the leader are kept.
    """

    host_id: names.Name
    zone: names.Name
    callers: listen_settings.ListenSettings
    ready: listen_settings.ListenSettings
    metrics: listen_settings.ListenSettings
    peers: listen_settings.ListenSettings | None = None
    seeds: list[addresses.HostPort]
    control_port: units.Port
    grace_s: units.Seconds = 8.0
    send_budget: RetryBudgetSettings = RetryBudgetSettings()
    max_bodies_bytes: int = pydantic.Field(
        default=MAX_BODIES_BYTES, ge=1 << 20
    )
    quotas: quota_settings.QuotaSettings = quota_settings.QuotaSettings()
    balancing: balancing_settings.BalancingSettings = (
        balancing_settings.BalancingSettings()
    )
    capacity: balancing_settings.CapacitySettings = (
        balancing_settings.CapacitySettings()
    )
    connections: connection_settings.ConnectionSettings = (
        connection_settings.ConnectionSettings()
    )
