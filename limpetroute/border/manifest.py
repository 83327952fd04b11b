"""The manifest: the desired state of the fleet."""

import hashlib
import typing

import pydantic

from limpetroute.border import field_errors
from limpetroute.border import names
from limpetroute.border import strict_model

Name = names.Name


class ModelBody(strict_model.StrictModel):
    """A model, its version and its adapters."""

    name: Name
    version: Name
    adapters: list[Name] = []
    max_prompt_tokens: int = pydantic.Field(default=65536, ge=1)


class PoolBody(strict_model.StrictModel):
    """Runners that serve the same models."""

    name: Name
    models: list[Name]
    prefill: int = pydantic.Field(ge=0)
    decode: int = pydantic.Field(ge=0)


class CallBody(strict_model.StrictModel):
    """Calls to a plain service, and whether they may be repeated."""

    method: typing.Literal['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']
    path: str
    repeatable: bool


class ServiceBody(strict_model.StrictModel):
    """A plain service.

    A call that no entry of ``calls`` matches is repeatable only if HTTP
    defines its method as idempotent.
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
    """Latency targets that a request must meet to count as goodput."""

    first_token_s: float = pydantic.Field(default=1.0, gt=0)
    token_gap_s: float = pydantic.Field(default=0.031, gt=0)


class ManifestBody(strict_model.StrictModel):
    """A complete manifest; a higher number replaces a lower one."""

    number: int = pydantic.Field(ge=1)
    sender: str = pydantic.Field(default='', max_length=200)
    objective: typing.Literal['goodput', 'wasted_prefill'] = 'goodput'
    targets: TargetsBody = TargetsBody()
    models: list[ModelBody] = []
    pools: list[PoolBody] = []
    services: list[ServiceBody] = []
    teams: list[TeamBody] = []

    @pydantic.field_validator('models', 'pools', 'services', 'teams')
    @classmethod
    def _names_are_unique(cls, items: list[typing.Any]) -> list[typing.Any]:
        field_errors.check_unique(items, lambda item: item.name, 'name')
        return items

    @pydantic.field_validator('teams')
    @classmethod
    def _tokens_are_unique(cls, teams: list[TeamBody]) -> list[TeamBody]:
        field_errors.check_unique(
            teams, lambda team: team.token_sha256, 'token_sha256'
        )
        return teams

    @pydantic.field_validator('pools')
    @classmethod
    def _pools_name_models(
        cls, pools: list[PoolBody], info: pydantic.ValidationInfo
    ) -> list[PoolBody]:
        if 'models' not in info.data:
            return pools
        known = {model.name for model in info.data['models']}
        errors = []
        for position, pool in enumerate(pools):
            for number, name in enumerate(pool.models):
                if name in known:
                    continue
                allowed = ', '.join(sorted(known)) or 'none'
                path = f'{position}.models.{number}'
                errors.append((path, f'allowed: {allowed} (got {name!r})'))
        if errors:
            raise field_errors.FieldErrors(errors=errors)
        return pools

    @property
    def digest(self) -> str:
        """SHA-256 of the content without the sender."""
        content = self.model_dump_json(exclude={'sender'})
        return hashlib.sha256(content.encode()).hexdigest()
