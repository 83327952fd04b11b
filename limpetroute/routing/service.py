"""A service: runners that can stand in for each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """What a service's runners are, where they run a model.

    Parameters
    ----------
    slots : int
        Requests that a runner works on at once.
    memory_tokens : int
        Tokens whose KV cache fits a runner's memory.
    tokens_per_event : int
        Tokens that one event of a stream carries.
    prefill_result_ttl_s : float
        Time for which a prefill's result is kept.
    stage_change_s : float
        Time that a runner is away while it changes its stage.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int
    prefill_result_ttl_s: float
    stage_change_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service: runners that can stand in for each other.

    Parameters
    ----------
    name : str
        Name in routes and announcements.
    health_path : str
        Path of its runners' health check.
    max_connections : int
        Connections that one runner takes from all callers.
    engine : Engine or None
        None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
