"""The operator's routing configuration as it is sent."""

import typing

import pydantic


class _Body(pydantic.BaseModel):
    """Ignores unknown fields, as new ones may come."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        alias_generator=lambda name: name.replace('_', '-'),
    )


class SplitBody(_Body):
    """A service's part of a route."""

    service: str
    weight: float


class RouteBody(_Body):
    """One route; either ``service`` or ``split`` is given."""

    name: str = ''
    host: str
    path_prefix: str
    kind: typing.Literal['idempotent', 'non_idempotent', 'streaming']
    # How long a caller may be kept waiting, not a socket's timeout.
    timeout_ms: float
    # The time within which an answer is good.
    slo_ms: float = 1000.0
    gap_slo_ms: float | None = None
    priority: int = 0
    service: str | None = None
    split: list[SplitBody] = []
    # Runners that one attempt of a caller may be sent to.
    attempts: int = 1
    resumable: bool = False


class EngineBody(_Body):
    """What a service's model runners are."""

    slots: int
    # Tokens, not bytes.
    kv_capacity: int
    # Tokens in one event of a stream.
    stride: int = 1
    # How long a prefill's result is kept.
    kv_ttl_s: float = 0.5
    # How long a runner is away while it changes its stage.
    switch_s: float = 6.0


class ServiceBody(_Body):
    """One service."""

    name: str
    health_path: str = '/healthz'
    max_conns: int = 100
    engine: EngineBody | None = None


class LimitsBody(_Body):
    """What a caller may send, and how slowly."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RoutesBody(_Body):
    """The whole configuration."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: LimitsBody = LimitsBody()
