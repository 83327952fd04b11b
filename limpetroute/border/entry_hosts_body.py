"""Bodies of ``POST /v1/entry-hosts``: where entry hosts reach each other."""

import pydantic

from limpetroute.border import addresses
from limpetroute.border import strict_model
from limpetroute.routing import peer_directory

MAX_NAME_CHARS = 200


class EntryHostBody(strict_model.StrictModel):
    """An entry host and where it accepts requests of other entry hosts."""

    host_id: str = pydantic.Field(min_length=1, max_length=MAX_NAME_CHARS)
    zone: str = pydantic.Field(max_length=MAX_NAME_CHARS)
    url: addresses.HostUrl

    def to_peer(self) -> peer_directory.PeerHost:
        """Return the entry host."""
        return peer_directory.PeerHost(**self.model_dump())


class EntryReportBody(strict_model.StrictModel):
    """The reporting host, and the digest of the list that it holds."""

    host: EntryHostBody
    digest: str = pydantic.Field(default='', max_length=MAX_NAME_CHARS)


class EntryHostsBody(strict_model.StrictModel):
    """The list of entry hosts; None if the reporting host holds it."""

    digest: str
    hosts: list[EntryHostBody] | None
