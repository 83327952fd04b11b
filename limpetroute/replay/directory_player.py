"""Replays announcements of runners on a runner directory."""

import typing

from limpetroute.border import announcement
from limpetroute.replay import player
from limpetroute.runners import directory


class DirectoryPlayer:
    """Applies announcements and expiry to a directory of runners."""

    def __init__(self) -> None:
        self._directory = directory.Directory(timeout_s=3.0)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(directory={self._directory!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the operations on a directory, by name."""
        return {
            'start': self._start,
            'announce': self._announce,
            'expire': self._expire,
            'runners': self._runners,
        }

    def _start(self, *, now_s: float, timeout_s: float) -> None:
        self._directory = directory.Directory(timeout_s=timeout_s)

    def _announce(
        self, *, now_s: float, body: announcement.AnnouncementBody
    ) -> bool:
        return self._directory.announce(body, now_s)

    def _expire(self, *, now_s: float) -> list[str]:
        return sorted(self._directory.expire(now_s))

    def _runners(self, *, now_s: float) -> dict[str, typing.Any]:
        return {
            body.runner_id: body.model_dump() for body in self._directory.all()
        }
