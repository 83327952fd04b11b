"""Services and the engines that their runners have."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """Properties of the runners of a service that runs a model.

    Parameters
    ----------
    slots : int
        Requests that a runner processes at once.
    memory_tokens : int
        Tokens whose KV cache fits into the memory of a runner.
    tokens_per_event : int
        Tokens in one event of a stream.
    prefill_result_ttl_s : float
        Time for which a runner keeps the result of a prefill.
    stage_change_s : float
        Time for which a runner is unavailable while it changes its stage.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int
    prefill_result_ttl_s: float
    stage_change_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service, whose runners can replace each other.

    Parameters
    ----------
    name : str
        Name in routes and announcements.
    health_path : str
        Path of its runners' health check.
    max_connections : int
        Connections that one runner accepts from all callers together.
    engine : Engine or None
        Properties of its runners; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
