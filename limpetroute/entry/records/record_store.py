"""The request records of this host."""

import collections
import typing

from limpetroute.entry.records import live_record

RECORD_BYTES = 2048
MAX_ENDED_BYTES = 64 << 20


class RecordStore:
    """Finds records by request id, by team and key, and by run.

    Ended records are kept for ``retain_s``, so that callers can resume
    their answers, and use at most ``max_ended_bytes``. Without that
    limit a burst of long answers could fill the memory of the host.

    Parameters
    ----------
    retain_s : float
        How long a record is kept after its end, in seconds.
    max_ended_bytes : int
        Maximum memory of ended records; the oldest are dropped first.
    """

    __slots__ = (
        '_by_id',
        '_by_key',
        '_by_run',
        '_ended',
        '_max_ended_bytes',
        '_retain_s',
        'ended_bytes',
        'on_discard',
    )

    def __init__(
        self, *, retain_s: float, max_ended_bytes: int = MAX_ENDED_BYTES
    ) -> None:
        self._retain_s = retain_s
        self._max_ended_bytes = max_ended_bytes
        self.ended_bytes = 0
        self.on_discard: typing.Callable[[str], None] | None = None
        self._by_id: dict[str, live_record.LiveRecord] = {}
        self._by_key: dict[tuple[str, str], live_record.LiveRecord] = {}
        self._by_run: dict[str, live_record.LiveRecord] = {}
        self._ended: collections.deque[
            tuple[float, int, live_record.LiveRecord]
        ] = collections.deque()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}'
            f'(records={len(self)!r}, ended_bytes={self.ended_bytes!r})'
        )

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> typing.Iterator[live_record.LiveRecord]:
        return iter(list(self._by_id.values()))

    def add(self, live: live_record.LiveRecord) -> None:
        """Add a record, which replaces an older one under its key."""
        record = live.record
        self._by_id[record.request_id] = live
        self._by_key[record.team, record.key] = live
        self._by_run[record.run_id] = live

    def note_ended(self, live: live_record.LiveRecord, now_s: float) -> None:
        """Schedule a record that has ended to be dropped."""
        size = RECORD_BYTES + live.size_bytes
        self._ended.append((now_s + self._retain_s, size, live))
        self.ended_bytes += size
        while self.ended_bytes > self._max_ended_bytes:
            self._drop_oldest()

    def expire(self, now_s: float) -> None:
        """Drop ended records that were kept for ``retain_s``."""
        while self._ended and self._ended[0][0] <= now_s:
            self._drop_oldest()

    def discard(self, live: live_record.LiveRecord) -> None:
        """Remove a record."""
        record = live.record
        if self._by_id.pop(record.request_id, None) is not None:
            if self.on_discard is not None:
                self.on_discard(record.request_id)
        self._by_run.pop(record.run_id, None)
        team_key = record.team, record.key
        # A newer request may use the key by now.
        if self._by_key.get(team_key) is live:
            del self._by_key[team_key]

    def by_id(
        self, team: str, request_id: str
    ) -> live_record.LiveRecord | None:
        """Return a team's record by its request id, or None."""
        return _of_team(self._by_id.get(request_id), team)

    def by_run(self, team: str, run_id: str) -> live_record.LiveRecord | None:
        """Return a team's record by its run name, or None."""
        return _of_team(self._by_run.get(run_id), team)

    def by_key(self, team: str, key: str) -> live_record.LiveRecord | None:
        """Return a team's record by its idempotency key, or None."""
        return self._by_key.get((team, key))

    def _drop_oldest(self) -> None:
        _, size, live = self._ended.popleft()
        self.ended_bytes -= size
        self.discard(live)


def _of_team(
    live: live_record.LiveRecord | None, team: str
) -> live_record.LiveRecord | None:
    if live is None or live.record.team != team:
        return None
    return live
