"""The records that this host holds."""

import typing

from limpetroute.entry import live_record


class RecordStore:
    """Finds records by id and by team and key."""

    __slots__ = ('_by_id', '_by_key')

    def __init__(self) -> None:
        self._by_id: dict[str, live_record.LiveRecord] = {}
        self._by_key: dict[tuple[str, str], live_record.LiveRecord] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> typing.Iterator[live_record.LiveRecord]:
        return iter(list(self._by_id.values()))

    def add(self, live: live_record.LiveRecord) -> None:
        """Keep a record."""
        record = live.record
        self._by_id[record.request_id] = live
        self._by_key[record.team, record.key] = live

    def discard(self, live: live_record.LiveRecord) -> None:
        """Drop a record."""
        record = live.record
        self._by_id.pop(record.request_id, None)
        self._by_key.pop((record.team, record.key), None)

    def by_id(
        self, team: str, request_id: str
    ) -> live_record.LiveRecord | None:
        """Find a team's record; another team's id is not found."""
        live = self._by_id.get(request_id)
        if live is None or live.record.team != team:
            return None
        return live

    def by_key(self, team: str, key: str) -> live_record.LiveRecord | None:
        """Find a record by idempotency key, inside one team."""
        return self._by_key.get((team, key))
