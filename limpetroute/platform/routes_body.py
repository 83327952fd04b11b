"""JSON schema of the operator's routing configuration."""

import typing

import pydantic


class _Body(pydantic.BaseModel):
    """Ignores unknown fields, so that new fields can be added."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        # An error that quotes its input would show callers' keys.
        hide_input_in_errors=True,
        alias_generator=lambda name: name.replace('_', '-'),
    )


class SplitBody(_Body):
    """A service's share of a route's requests."""

    service: str
    weight: float


class RouteBody(_Body):
    """A route; sets either ``service`` or ``split``."""

    name: str = ''
    host: str
    path_prefix: str
    kind: typing.Literal['idempotent', 'non_idempotent', 'streaming']
    # Maximum time until the caller has its answer, not a socket timeout.
    timeout_ms: float
    # Target time within which an answer meets the SLO.
    slo_ms: float = 1000.0
    gap_slo_ms: float | None = None
    priority: int = 0
    service: str | None = None
    split: list[SplitBody] = []
    # Maximum number of runners tried for one request of a caller.
    attempts: int = 1
    # Whether callers need no key.
    public: bool = False
    resumable: bool = False


class EngineBody(_Body):
    """Properties of a service's model runners."""

    slots: int
    # Tokens, not bytes.
    kv_capacity: int
    # Tokens per event of a stream.
    stride: int = 1
    # How long a prefill runner keeps the KV cache of a prompt.
    kv_ttl_s: float = 0.5
    # How long a runner is unavailable while it changes its stage.
    switch_s: float = 6.0


class ServiceBody(_Body):
    """A service."""

    name: str
    health_path: str = '/healthz'
    max_conns: int = 100
    engine: EngineBody | None = None


class LimitsBody(_Body):
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class TenantBody(_Body):
    """A team: its keys and its quota."""

    name: str = pydantic.Field(min_length=1)
    api_keys: list[str] = []
    priority: int | None = None
    # ``token_stream`` counts tokens, anything else requests.
    unit: str = ''
    # Tokens of a request without ``Token-Usage``.
    raw_tokens: float = pydantic.Field(default=0.0, ge=0)
    # 0 for no limit.
    rate_per_s: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)
    burst: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)


_Tenants = typing.Annotated[list[TenantBody], pydantic.Field(fail_fast=True)]


class RoutesBody(_Body):
    """The whole configuration."""

    version: int
    # An error in each of many elements takes more memory than the elements.
    routes: list[RouteBody] = pydantic.Field(fail_fast=True)
    services: list[ServiceBody] = pydantic.Field(fail_fast=True)
    limits: LimitsBody = LimitsBody()
    # Without this field, callers need no keys.
    tenants: _Tenants | None = None


class SubmittedRoutesBody(RoutesBody):
    """A configuration as the operator submits it.

    Stored configurations are read without these limits.
    """

    # Another JSON number might be rounded to another version.
    version: int = pydantic.Field(strict=True, ge=0, lt=1 << 63)
