"""Request bodies about requests that were at crashed runners."""

import typing

import pydantic

from limpetroute.border import strict_model
from limpetroute.border import units
from limpetroute.routing import quarantine

Fingerprint = typing.Annotated[str, pydantic.Field(pattern='^[0-9a-f]{32}$')]


class CrashBody(strict_model.StrictModel):
    """A crash of a runner, and the requests at the runner.

    ``suspects`` maps the fingerprint of each request to whether its answer
    had begun.
    """

    runner_id: str = pydantic.Field(min_length=1, max_length=200)
    started_ms: int = pydantic.Field(ge=0)
    suspects: dict[Fingerprint, bool] = pydantic.Field(
        min_length=1, max_length=quarantine.MAX_SUSPECTS_PER_CRASH
    )


class CrashesBody(strict_model.StrictModel):
    """``POST /v1/crashes``."""

    crashes: list[CrashBody] = pydantic.Field(
        min_length=1, max_length=quarantine.MAX_STORED_CRASHES
    )
    timeout_s: units.Seconds = 1.0


class RequestBody(strict_model.StrictModel):
    """``POST /v1/quarantine/trial`` and ``/v1/quarantine/clear``."""

    fingerprint: Fingerprint
    timeout_s: units.Seconds = 1.0
