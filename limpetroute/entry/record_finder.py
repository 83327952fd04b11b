"""Finds the record of a request, wherever it is held."""

import typing

from limpetroute.entry import live_record
from limpetroute.entry import record_store


class RecordFinder(typing.Protocol):
    """Looks for records of one team.

    A finder that knows other hosts takes a record it finds there over
    into this host's store before it returns it.
    """

    async def by_id(
        self, team: str, request_id: str
    ) -> live_record.LiveRecord | None:
        """Find by request id."""

    async def by_key(
        self, team: str, key: str
    ) -> live_record.LiveRecord | None:
        """Find by idempotency key."""

    async def by_run(
        self, team: str, run_id: str
    ) -> live_record.LiveRecord | None:
        """Find by the run in an event's id."""


class LocalRecordFinder:
    """Knows the records of this host alone.

    Parameters
    ----------
    records : RecordStore
        The records of this host.
    """

    __slots__ = ('_records',)

    def __init__(self, *, records: record_store.RecordStore) -> None:
        self._records = records

    def __repr__(self) -> str:
        return f'{type(self).__name__}(records={self._records!r})'

    async def by_id(
        self, team: str, request_id: str
    ) -> live_record.LiveRecord | None:
        """Find by request id."""
        return self._records.by_id(team, request_id)

    async def by_key(
        self, team: str, key: str
    ) -> live_record.LiveRecord | None:
        """Find by idempotency key."""
        return self._records.by_key(team, key)

    async def by_run(
        self, team: str, run_id: str
    ) -> live_record.LiveRecord | None:
        """Find by the run in an event's id."""
        return self._records.by_run(team, run_id)
