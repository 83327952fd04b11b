"""The runners that have announced themselves to this host."""

import dataclasses
import typing

from limpetroute.border import announcement


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    body: announcement.AnnouncementBody
    last_received_s: float


class Directory:
    """Stores each runner's latest announcement until it times out.

    Parameters
    ----------
    timeout_s : float
        Time without an announcement after which a runner is removed.
    """

    __slots__ = ('_entries', '_timeout_s')

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._entries: dict[str, _Entry] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(timeout_s={self._timeout_s!r})'

    def __len__(self) -> int:
        return len(self._entries)

    def announce(
        self, body: announcement.AnnouncementBody, now_s: float
    ) -> bool:
        """Store an announcement; return whether it is new or has changed.

        An announcement of an earlier incarnation, or with an older load
        report, arrived late and is dropped. Otherwise it would replace
        the newer state, such as that of a runner that has restarted.
        """
        old = self._entries.get(body.runner_id)
        if old is not None:
            if body.incarnation < old.body.incarnation:
                return False
            if _is_older(body, old.body):
                return False
        self._entries[body.runner_id] = _Entry(
            body=body, last_received_s=now_s
        )
        return old is None or old.body.facts() != body.facts()

    def expire(self, now_s: float) -> list[str]:
        """Remove the runners that timed out and return their ids."""
        expired_ids = [
            runner_id
            for runner_id, entry in self._entries.items()
            if now_s - entry.last_received_s > self._timeout_s
        ]
        for runner_id in expired_ids:
            del self._entries[runner_id]
        return expired_ids

    def get(self, runner_id: str) -> announcement.AnnouncementBody | None:
        """Return a runner's latest announcement, or None if unknown."""
        entry = self._entries.get(runner_id)
        return entry.body if entry else None

    def all(self) -> typing.Iterator[announcement.AnnouncementBody]:
        """Iterate over the latest announcement of every runner."""
        for entry in self._entries.values():
            yield entry.body


def _is_older(
    new: announcement.AnnouncementBody, old: announcement.AnnouncementBody
) -> bool:
    if new.incarnation != old.incarnation:
        return False
    if new.report is None or old.report is None:
        return False
    return new.report.sequence < old.report.sequence
