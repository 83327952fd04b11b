"""Settings of ``limpetroute control``."""

import pydantic

from limpetroute.border import addresses
from limpetroute.border import balancing_settings
from limpetroute.border import field_errors
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import paths
from limpetroute.border import quota_settings
from limpetroute.border import trust_settings
from limpetroute.border import units


class ControlSettings(trust_settings.TrustSettings):
    """Settings of ``limpetroute control``.

    Parameters
    ----------
    peer_urls : list of str
        Address of each other control host. All control hosts must have
        the same set, each without its own address.
    advertise_url : str or None
        Address at which the other hosts reach this host, if it differs
        from the address that it listens on.
    public_listen : ListenSettings or None
        Address that serves operators and runners in the platform's
        formats; the control hosts communicate over ``listen``.
    metrics : ListenSettings or None
        Address that serves the metrics, at ``/metrics``.
    seeds : list of str
        ``IP:PORT`` of the hosts that bootstrap the group, the same on all
        of them. The ports are not used, as all hosts listen on the same
        port. With seeds, ``host_id`` is the host's IP address,
        ``peer_urls`` is empty, and hosts join and leave automatically.
    tolerated_losses : int or None
        Number of hosts that may lose their disks at once. With seeds, the
        group grows to twice this number plus one.
    catch_up_s : float
        With seeds, time after the start of a new host within which it
        replaces one that is gone. A host that is silent for three quarters
        of this time is replaced once a new host has caught up.
    full_group_wait_s : float
        Longest time for which a new group with seeds delays its first
        acknowledgement until it has grown to that size. Growth takes about
        2 s when all hosts start; operators retry in the meantime.
    may_found : bool
        Whether this host, if its data folder is empty, may bootstrap a new
        group when all other hosts are empty too. Set it to false after the
        first start, so that the loss of all disks does not lead to a new,
        empty group.
    heartbeat_s, election_s, clock_drift : float
        See `limpetroute.agreement.Timings`; the same on all hosts.
    claim_groups : int
        Number of groups that claims are spread over by their key; it can
        never be changed. With 0 the host accepts no claims, and sends half
        as many heartbeats.
    compact_after : int
        Number of log entries after which a snapshot replaces them.
    rewrite_bytes : int
        Size of the journal at which it is rewritten.
    max_claim_bytes, max_outcome_bytes : int
        Most memory of the claims in a group, and largest size of an
        outcome.
    claim_retention_s, void_retention_s : float
        How long outcomes and withdrawn tokens are kept.
    commit_timeout_s : float
        Longest wait for a quorum.
    watch_timeout_s : float
        How long a watch call stays open while nothing changes.
    order_gap_ms : int
        Least time between orders of two control hosts to runners, which may
        ignore fencing numbers.
    max_body_bytes : int
        Maximum size of a request of another host.
    max_public_bytes : int
        Memory of all connections of ``public_listen``, with what has arrived
        on them and what they have not taken.
    quotas : QuotaSettings
        How teams' quotas are kept.
    balancing : BalancingSettings
        How the load is balanced.
    """

    host_id: names.Name
    zone: names.Name
    public_listen: listen_settings.ListenSettings | None = None
    metrics: listen_settings.ListenSettings | None = None
    seeds: list[addresses.HostPort] = []
    tolerated_losses: int | None = pydantic.Field(default=None, ge=0, le=10)
    catch_up_s: units.Seconds = 4.0
    full_group_wait_s: units.Seconds = 8.0
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    data_dir: paths.FilePath
    peer_urls: list[addresses.HostUrl] = []
    advertise_url: addresses.HostUrl | None = None
    may_found: bool = True
    heartbeat_s: units.Seconds = 0.25
    election_s: units.Seconds = 1.0
    clock_drift: float = pydantic.Field(default=0.05, ge=0, lt=0.25)
    claim_groups: int = pydantic.Field(default=1, ge=0, le=64)
    compact_after: int = pydantic.Field(default=10_000, ge=10)
    rewrite_bytes: int = pydantic.Field(default=16 << 20, ge=65536)
    max_claim_bytes: int = pydantic.Field(default=32 << 20, ge=65536)
    max_outcome_bytes: int = pydantic.Field(default=16384, ge=0)
    claim_retention_s: units.Seconds = 86400.0
    void_retention_s: units.Seconds = 3600.0
    commit_timeout_s: units.Seconds = 5.0
    watch_timeout_s: units.Seconds = 20.0
    order_gap_ms: int = pydantic.Field(default=3000, ge=0, le=600_000)
    quotas: quota_settings.QuotaSettings = quota_settings.QuotaSettings()
    balancing: balancing_settings.BalancingSettings = (
        balancing_settings.BalancingSettings()
    )
    max_body_bytes: int = pydantic.Field(default=64 << 20, ge=65536)
    max_public_bytes: int = pydantic.Field(default=72 << 20, ge=1 << 20)

    @pydantic.field_validator('peer_urls')
    @classmethod
    def _peers_are_unique(cls, urls: list[str]) -> list[str]:
        field_errors.check_unique(urls, lambda url: url, '')
        return urls

    @pydantic.field_validator('election_s')
    @classmethod
    def _election_is_long(
        cls, election_s: float, info: pydantic.ValidationInfo
    ) -> float:
        heartbeat_s = info.data.get('heartbeat_s', 0.0)
        if election_s < 3 * heartbeat_s:
            raise ValueError(
                'allowed is at least three times heartbeat_s, '
                f'{3 * heartbeat_s}'
            )
        return election_s
