"""Replays the sends of a request on its send guard."""

import typing

from limpetroute.entry.runs import send_guard
from limpetroute.replay import player


class GuardPlayer:
    """Records sends and refusals of one request.

    ``give_up`` returns 'not_run' if the guard proves that the request
    did not run, and 'unknown' otherwise.
    """

    def __init__(self) -> None:
        self._guard = send_guard.SendGuard()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(guard={self._guard!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the events of a request's sends, by name."""
        return {
            'send': self._send,
            'refused': self._refused,
            'give_up': self._give_up,
        }

    def _send(self, *, now_s: float) -> None:
        self._guard.mark_sending()

    def _refused(self, *, now_s: float) -> None:
        self._guard.mark_refused()

    def _give_up(self, *, now_s: float) -> str:
        if self._guard.not_run_proof() is None:
            return 'unknown'
        return 'not_run'
