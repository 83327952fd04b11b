"""The size that decides the design, from the users' first letter."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Goal:
    """Numbers of the letter, and those that follow from them."""

    nodes: int = 350
    runners: int = 1800
    requests_per_s: float = 1900.0
    tokens_per_s: float = 530_000.0
    kv_bytes_per_s: float = 760e9
    teams: int = 13_000
    models: int = 35
    regions: int = 7
    zones: int = 24
    changes_per_day: int = 9_000
    in_force_s: float = 15.0
    core_share: float = 0.039
    memory_bytes: int = 128 << 20
    wire_bytes_per_s: float = 7_000.0
    hosts_set_aside: int = 22
    failures_per_day: int = 20
    restarts_per_day: int = 140

    @property
    def requests_per_node_s(self) -> float:
        """Requests a second at one node."""
        return self.requests_per_s / self.nodes

    @property
    def tokens_per_node_s(self) -> float:
        """Streamed tokens a second at one node."""
        return self.tokens_per_s / self.nodes

    @property
    def tokens_per_request(self) -> float:
        """Mean length of an answer."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def runners_per_node(self) -> float:
        """Runners whose lease one node holds."""
        return self.runners / self.nodes

    @property
    def nodes_per_zone(self) -> float:
        """Nodes in one availability zone."""
        return self.nodes / self.zones

    @property
    def open_streams_per_node(self) -> float:
        """Streams open at a time, at the token gap of the target."""
        seconds = self.tokens_per_request * 0.031
        return self.requests_per_node_s * seconds
