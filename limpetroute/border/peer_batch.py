"""Body of the messages between control hosts."""

import typing

import pydantic

from limpetroute.agreement import messages
from limpetroute.border import strict_model


class EnvelopeBody(strict_model.StrictModel):
    """A message between two replicas of a group."""

    group: int = pydantic.Field(ge=0)
    sender: str
    to: str
    message: typing.Annotated[
        messages.Message, pydantic.Field(discriminator='kind')
    ]


class HostReportBody(strict_model.StrictModel):
    """Revision that an entry host reported ``age_s`` ago."""

    number: int = pydantic.Field(ge=0)
    age_s: float = pydantic.Field(ge=0)


class ReplacementBody(strict_model.StrictModel):
    """Host that replaces another one, as ordered ``age_s`` ago."""

    new_host: str
    age_s: float = pydantic.Field(ge=0)


class PeerBatch(strict_model.StrictModel):
    """Messages of a host's replicas, and facts about the sending host.

    ``founding`` maps each host that bootstrapped the group to its replica,
    once the group exists. ``replacements`` maps each host that an operator
    replaces to the new host. ``urls`` are the sender and the control hosts
    that it had contact with recently. The receiver connects to those that
    it has no link to, as a new host is configured with some of them only.
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
