"""Request bodies of claims, which ensure that a request runs once."""

import typing

import pydantic

from limpetroute.border import strict_model
from limpetroute.border import units

Text = typing.Annotated[str, pydantic.Field(max_length=500)]


class ClaimBody(strict_model.StrictModel):
    """``POST /v1/claims``."""

    team: Text
    key: Text
    body_digest: Text
    holder: Text
    token: Text = pydantic.Field(min_length=8)
    timeout_s: units.Seconds = 2.0


class WithdrawBody(strict_model.StrictModel):
    """``POST /v1/claims/withdraw``."""

    team: Text
    key: Text
    token: Text
    timeout_s: units.Seconds = 2.0


class SettleBody(strict_model.StrictModel):
    """``POST /v1/claims/settle``."""

    team: Text
    key: Text
    status: int = pydantic.Field(ge=100, le=599)
    body: str = pydantic.Field(default='', max_length=1 << 20)
    timeout_s: units.Seconds = 2.0


class FenceBody(strict_model.StrictModel):
    """``POST /v1/fences``."""

    name: str = pydantic.Field(min_length=1, max_length=200)
    timeout_s: units.Seconds = 2.0


class ReplaceBody(strict_model.StrictModel):
    """``POST /v1/members/replace``."""

    old_host: str
    new_host: str
