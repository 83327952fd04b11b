"""Settings of ``limpetroute control``."""

import pydantic

from limpetroute.border import addresses
from limpetroute.border import field_errors
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import paths
from limpetroute.border import trust_settings
from limpetroute.border import units


class ControlSettings(trust_settings.TrustSettings):
    """Settings of ``limpetroute control``.

    Parameters
    ----------
    peer_urls : list of str
        Address of each other control host. All control hosts must be
        given the same set, each without itself.
    advertise_url : str or None
        Address under which the others reach this host, where it is not
        the one it listens on.
    public_listen : ListenSettings or None
        Address at which operators and runners are served in the
        platform's formats; the hosts talk to each other at ``listen``.
    metrics : ListenSettings or None
        Port of the metrics, at ``/metrics``.
    seeds : list of str
        ``IP:PORT`` of the hosts that found the group, the same on all of
        them; the ports are not used, as all listen on the same one. With
        seeds, ``host_id`` is the host's IP address, ``peer_urls`` stays
        empty and hosts come and go by themselves.
    tolerated_losses : int or None
        Hosts that may lose their disks at once; with seeds, the group
        grows to two times that and one.
    full_group_wait_s : float
        Longest time for which a new group of seeds holds back its first
        acknowledgement until it has grown to that size. It takes about
        2 s when all hosts come up; operators send again meanwhile.
    may_found : bool
        Whether this host, with an empty folder, may found a new group
        when all others are empty too. Set to false after the first
        start, so that a loss of all disks is not taken for a new group.
    heartbeat_s, election_s, clock_drift : float
        See `limpetroute.agreement.Timings`; equal on all hosts.
    claim_groups : int
        Groups that claims are spread over by their key; fixed for life.
        With 0 the host takes no claims, and sends half the heartbeats.
    compact_after : int
        Entries after which a snapshot takes their place.
    rewrite_bytes : int
        Size from which the journal is written anew.
    max_claim_bytes, max_outcome_bytes : int
        Bounds of the claims' memory in each group, and of an outcome.
    claim_retention_s, void_retention_s : float
        How long outcomes and withdrawn tokens are kept.
    commit_timeout_s : float
        Longest wait for a quorum.
    watch_timeout_s : float
        How long a watcher's call is held while nothing changes.
    """

    host_id: names.Name
    zone: names.Name
    public_listen: listen_settings.ListenSettings | None = None
    metrics: listen_settings.ListenSettings | None = None
    seeds: list[addresses.HostPort] = []
    tolerated_losses: int | None = pydantic.Field(default=None, ge=0, le=10)
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
    max_body_bytes: int = pydantic.Field(default=64 << 20, ge=65536)

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
