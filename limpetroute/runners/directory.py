"""The runners that announce themselves to this host."""

import dataclasses
import typing

from limpetroute.border import announcement


@dataclasses.dataclass(kw_only=True, slots=True)
class _Seen:
    body: announcement.AnnouncementBody
    heard_s: float


class Directory:
    """Keeps each runner's newest announcement until it goes silent.

    Parameters
    ----------
    timeout_s : float
        Silence after which a runner is forgotten.
    """

    __slots__ = ('_seen', '_timeout_s')

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._seen: dict[str, _Seen] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(timeout_s={self._timeout_s!r})'

    def __len__(self) -> int:
        return len(self._seen)

    def announce(
        self, body: announcement.AnnouncementBody, now_s: float
    ) -> bool:
        """Take an announcement; return whether it is news.

        An announcement of an earlier incarnation, or with an older
        report, arrived late and is dropped: taken, it would bring back
        a runner that has restarted since.
        """
        old = self._seen.get(body.runner_id)
        if old is not None:
            if body.incarnation < old.body.incarnation:
                return False
            if _is_older(body, old.body):
                return False
        self._seen[body.runner_id] = _Seen(body=body, heard_s=now_s)
        return old is None or old.body.facts() != body.facts()

    def expire(self, now_s: float) -> list[str]:
        """Forget runners gone silent and return their names."""
        gone = [
            runner_id
            for runner_id, seen in self._seen.items()
            if now_s - seen.heard_s > self._timeout_s
        ]
        for runner_id in gone:
            del self._seen[runner_id]
        return gone

    def get(self, runner_id: str) -> announcement.AnnouncementBody | None:
        """Return a runner's newest announcement."""
        seen = self._seen.get(runner_id)
        return seen.body if seen else None

    def all(self) -> typing.Iterator[announcement.AnnouncementBody]:
        """Return every runner's newest announcement."""
        for seen in self._seen.values():
            yield seen.body


def _is_older(
    new: announcement.AnnouncementBody, old: announcement.AnnouncementBody
) -> bool:
    if new.incarnation != old.incarnation:
        return False
    if new.report is None or old.report is None:
        return False
    return new.report.sequence < old.report.sequence
