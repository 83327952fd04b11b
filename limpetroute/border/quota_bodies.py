"""Request body about what teams used of their quotas."""

import typing

import pydantic

from limpetroute.border import strict_model

Units = typing.Annotated[float, pydantic.Field(allow_inf_nan=False)]
AgeSeconds = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class QuotaReportBody(strict_model.StrictModel):
    """``POST /v1/quotas``: what a host's requests used, by team.

    ``spent`` are units since the last report; negative ones are given
    back. ``history`` lists age and units of what was used under earlier
    leaders, and is sent once to each leader.
    """

    host_id: str = pydantic.Field(min_length=1, max_length=200)
    spent: dict[str, Units] = {}
    history: dict[str, list[tuple[AgeSeconds, Units]]] = {}
