"""Hints on a stream to place, in a header of the placement request.

They are not in the body because leaders of earlier releases reject a body
with unknown fields, and the stream would then be placed locally.
"""

import json

import pydantic

from limpetroute.routing import placement_hints
from limpetroute.routing import runner_incarnation

NAME = 'Limpetroute-Placement-Hints'


class _LeavingBody(pydantic.BaseModel):
    """See `RunnerIncarnation`."""

    runner_id: str
    started_ms: int = pydantic.Field(ge=0)


class _HintsBody(pydantic.BaseModel):
    """See `PlacementHints`; fields that later releases add are ignored."""

    backoffs_s: dict[str, pydantic.NonNegativeFloat] = pydantic.Field(
        default_factory=dict
    )
    leaving: tuple[_LeavingBody, ...] = ()
    shedding: tuple[str, ...] = ()
    is_prefilled: bool = False
    version: str | None = None
    resumes: str = ''
    has_runner: bool = False
    route_priority: int | None = None


def encode(hints: placement_hints.PlacementHints) -> dict[str, str]:
    """Return the header by its name; empty if there are no hints."""
    if hints == placement_hints.PlacementHints():
        return {}
    body = _HintsBody(
        backoffs_s={
            runner_id: round(wait_s, 3)
            for runner_id, wait_s in hints.backoffs_s.items()
        },
        leaving=tuple(
            _LeavingBody(runner_id=one.runner_id, started_ms=one.started_ms)
            for one in hints.leaving
        ),
        shedding=hints.shedding,
        is_prefilled=hints.is_prefilled,
        version=hints.version,
        resumes=hints.resumes,
        has_runner=hints.has_runner,
        route_priority=hints.route_priority,
    )
    fields = body.model_dump(exclude_defaults=True)
    return {NAME: json.dumps(fields, separators=(',', ':'))}


def decode(text: str | None) -> placement_hints.PlacementHints:
    """Return the hints in a header, or none without a header.

    Raises
    ------
    ValueError
        If the header contains no valid hints.
    """
    if text is None:
        return placement_hints.PlacementHints()
    body = _HintsBody.model_validate_json(text)
    return placement_hints.PlacementHints(
        backoffs_s=body.backoffs_s,
        leaving=tuple(
            runner_incarnation.RunnerIncarnation(
                runner_id=one.runner_id, started_ms=one.started_ms
            )
            for one in body.leaving
        ),
        shedding=body.shedding,
        is_prefilled=body.is_prefilled,
        version=body.version,
        resumes=body.resumes,
        has_runner=body.has_runner,
        route_priority=body.route_priority,
    )
