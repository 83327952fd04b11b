"""Experiment of the bench: workloads, faults and policies to compare."""

import typing

import pydantic

from limpetroute.border import strict_model
from limpetroute.border import units


class PoolShapeBody(strict_model.StrictModel):
    """Prefill and decode runners that serve the same models."""

    name: str
    models: list[str] = pydantic.Field(min_length=1)
    prefill: int = pydantic.Field(ge=1)
    decode: int = pydantic.Field(ge=1)


class DeploymentBody(strict_model.StrictModel):
    """Size and speed of the modelled fleet."""

    name: str
    zones: list[str] = pydantic.Field(min_length=1)
    pools: list[PoolShapeBody] = pydantic.Field(min_length=1)
    hosts: int = pydantic.Field(default=1, ge=1)
    leases: bool = True
    slots: int = pydantic.Field(default=20, ge=1)
    kv_capacity_bytes: int = pydantic.Field(default=8 << 30, ge=1)
    kv_bytes_per_token: int = pydantic.Field(default=131072, ge=1)
    prefill_tokens_per_s: float = pydantic.Field(default=20000.0, gt=0)
    prefill_overhead_s: float = pydantic.Field(default=0.003, ge=0)
    step_s: units.Seconds = 0.01
    step_batch: float = pydantic.Field(default=20.0, gt=0)
    link_bytes_per_s: float = pydantic.Field(default=10e9, gt=0)
    hop_s: float = pydantic.Field(default=0.0005, ge=0)
    zone_hop_s: float = pydantic.Field(default=0.001, ge=0)
    result_ttl_s: units.Seconds = 0.8
    report_every_s: units.Seconds = 0.5
    report_lag_s: units.Seconds = 0.5
    cache_event_lag_s: units.Seconds = 1.0
    cache_event_loss: float = pydantic.Field(default=0.1, ge=0, le=1)
    transfer_timeout_s: units.Seconds = 2.0


class WorkClassBody(strict_model.StrictModel):
    """One class of requests; lengths are lognormal, clipped at both ends."""

    name: str
    weight: float = pydantic.Field(default=1.0, gt=0)
    models: list[str] = pydantic.Field(min_length=1)
    prompt_tokens: int = pydantic.Field(ge=1)
    prompt_sigma: float = pydantic.Field(default=0.5, ge=0)
    prompt_max_tokens: int = pydantic.Field(default=60000, ge=1)
    answer_tokens: int = pydantic.Field(ge=1)
    answer_sigma: float = pydantic.Field(default=0.4, ge=0)
    max_tokens: int = pydantic.Field(ge=1)
    first_token_s: units.Seconds = 1.0
    token_gap_s: units.Seconds = 0.031
    prefixes: int = pydantic.Field(default=0, ge=0)
    prefix_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    prefix_skew: float = pydantic.Field(default=0.0, ge=0)


class PatternBody(strict_model.StrictModel):
    """Offered load over time; ``load`` is a multiple of capacity."""

    load: float = pydantic.Field(default=1.0, gt=0)
    duration_s: units.Seconds = 60.0
    warmup_s: float = pydantic.Field(default=5.0, ge=0)
    burst_factor: float = pydantic.Field(default=1.0, ge=1)
    burst_at_s: float = pydantic.Field(default=20.0, ge=0)
    burst_s: float = pydantic.Field(default=5.0, ge=0)
    teams: int = pydantic.Field(default=20, ge=1)
    heavy_teams: int = pydantic.Field(default=0, ge=0)
    heavy_factor: float = pydantic.Field(default=1.0, ge=1)
    cancel_fraction: float = pydantic.Field(default=0.0, ge=0, le=1)
    return_fraction: float = pydantic.Field(default=0.0, ge=0, le=1)
    shift_at_s: float | None = None
    shift_models: dict[str, str] = {}


class FaultBody(strict_model.StrictModel):
    """One fault; ``runner`` is the index within the role, from zero."""

    kind: typing.Literal[
        'slow', 'lies', 'dies', 'stalled_transfers', 'slow_link'
    ]
    role: typing.Literal['prefill', 'decode'] = 'decode'
    runner: int = pydantic.Field(default=0, ge=0)
    from_s: float = pydantic.Field(default=10.0, ge=0)
    until_s: float = pydantic.Field(default=1e9, ge=0)
    factor: float = pydantic.Field(default=5.0, gt=0)
    fraction: float = pydantic.Field(default=0.05, ge=0, le=1)
    every_s: float = pydantic.Field(default=60.0, gt=0)
    back_s: float = pydantic.Field(default=10.0, gt=0)


class CaseBody(strict_model.StrictModel):
    """One load pattern and its faults."""

    name: str
    pattern: PatternBody = PatternBody()
    faults: list[FaultBody] = []
    classes: list[WorkClassBody] | None = None


class ExperimentBody(strict_model.StrictModel):
    """A whole experiment."""

    name: str
    deployment: DeploymentBody
    classes: list[WorkClassBody] = pydantic.Field(min_length=1)
    cases: list[CaseBody] = pydantic.Field(min_length=1)
    policies: list[str] = pydantic.Field(min_length=1)
    objective: typing.Literal['goodput', 'wasted_prefill'] = 'goodput'
    seeds: list[int] = pydantic.Field(default=[1, 2, 3, 4, 5], min_length=1)
    note: str = ''
