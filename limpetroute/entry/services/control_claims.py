"""Builds the claim store for at-most-once calls of an entry host."""

from limpetroute.border import entry_settings
from limpetroute.control import claim_store
from limpetroute.control import control_client
from limpetroute.control import http_claim_store
from limpetroute.wire import caller


def build(
    settings: entry_settings.EntrySettings, http: caller.Caller
) -> claim_store.ClaimStore | None:
    """Return a claim store, or None if no control host is configured."""
    if not settings.control_urls:
        return None
    client = control_client.ControlClient(
        urls=settings.control_urls, http=http
    )
    return http_claim_store.HttpClaimStore(client=client)
