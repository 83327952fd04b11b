"""The manifest: what the fleet is to look like."""

import hashlib
import typing

import pydantic

from limpetroute.border import strict_model

Name = typing.Annotated[
    str, pydantic.Field(min_length=1, max_length=200, pattern=r'^[\w.:/-]+$')
]


class ModelBody(strict_model.StrictModel):
    """A model, its version and its adapters."""

    name: Name
    version: Name
    adapters: list[Name] = []
    max_prompt_tokens: int = pydantic.Field(default=65536, ge=1)


class PoolBody(strict_model.StrictModel):
    """Runners that carry the same models."""

    name: Name
    models: list[Name]
    prefill: int = pydantic.Field(ge=0)
    decode: int = pydantic.Field(ge=0)


class CallBody(strict_model.StrictModel):
    """Calls of a plain service, and whether they may be repeated."""

    method: typing.Literal['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']
    path: str
    repeatable: bool


class ServiceBody(strict_model.StrictModel):
    """A plain service.

    A call that no rule names is taken as repeatable only where HTTP
    calls its method idempotent.
    """

    name: Name
    calls: list[CallBody] = []
    timeout_s: float = pydantic.Field(default=10.0, gt=0, le=3600)


class TeamBody(strict_model.StrictModel):
    """A team's token and limits."""

    name: Name
    token_sha256: str | None = pydantic.Field(
        default=None, pattern='^[0-9a-f]{64}$'
    )
    share: float = pydantic.Field(default=1.0, gt=0)
    requests_per_s: float | None = pydantic.Field(default=None, gt=0)


class TargetsBody(strict_model.StrictModel):
    """Latency targets that goodput is counted against."""

    first_token_s: float = pydantic.Field(default=1.0, gt=0)
    token_gap_s: float = pydantic.Field(default=0.031, gt=0)


class ManifestBody(strict_model.StrictModel):
    """One whole manifest; a higher number replaces a lower one."""

    number: int = pydantic.Field(ge=1)
    sender: str = pydantic.Field(default='', max_length=200)
    objective: typing.Literal['goodput', 'wasted_prefill'] = 'goodput'
    targets: TargetsBody = TargetsBody()
    models: list[ModelBody] = []
    pools: list[PoolBody] = []
    services: list[ServiceBody] = []
    teams: list[TeamBody] = []

    @pydantic.model_validator(mode='after')
    def _pools_name_models(self) -> 'ManifestBody':
        known = {model.name for model in self.models}
        for place, pool in enumerate(self.pools):
            for name in pool.models:
                if name in known:
                    continue
                allowed = ', '.join(sorted(known)) or 'none'
                raise ValueError(
                    f'pools.{place}.models: {name!r} is not one of '
                    f'the models: {allowed}'
                )
        return self

    @property
    def digest(self) -> str:
        """SHA-256 of the content without its sender."""
        content = self.model_dump_json(exclude={'sender'})
        return hashlib.sha256(content.encode()).hexdigest()
