"""What control hosts post to each other."""

import typing

import pydantic

from limpetroute.agreement import messages
from limpetroute.border import strict_model


class EnvelopeBody(strict_model.StrictModel):
    """A message of one group's replica."""

    group: int = pydantic.Field(ge=0)
    sender: str
    to: str
    message: typing.Annotated[
        messages.Message, pydantic.Field(discriminator='kind')
    ]


class HostReportBody(strict_model.StrictModel):
    """An entry host's revision, heard ``age_s`` ago."""

    number: int = pydantic.Field(ge=0)
    age_s: float = pydantic.Field(ge=0)


class ReplacementBody(strict_model.StrictModel):
    """The new host in a replaced one's place, ordered ``age_s`` ago."""

    new_host: str
    age_s: float = pydantic.Field(ge=0)


class PeerBatch(strict_model.StrictModel):
    """Who sends, and what its replicas have to say.

    ``founding`` gives each founding host's replica, once founded;
    ``replacements`` gives the new host for each one an operator
    replaces; ``urls`` are control hosts that the sender has heard of
    late, for a newcomer that knows only some of them.
    """

    host_id: str
    replica_id: str
    url: str
    blank: bool
    founding: dict[str, str] | None = None
    replacements: dict[str, ReplacementBody] = {}
    hosts: dict[str, HostReportBody] = {}
    urls: list[str] = []
    envelopes: list[EnvelopeBody] = []
