"""Requests under which runners crash, kept from further runners."""

import collections
import dataclasses
import enum
import typing

from limpetroute.routing import runner_incarnation

# Crashes of runners after which a request is no longer sent.
CRASHES_TO_QUARANTINE = 3
# Times that a quarantined request may be tried once more, whatever the
# number of hosts.
MAX_TRIALS = 3
# Bounds of what is kept. The oldest crash goes first, and the quarantined
# request that was not asked for the longest.
MAX_STORED_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 64
MAX_QUARANTINED_REQUESTS = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was at a runner when it crashed.

    Parameters
    ----------
    fingerprint : str
        What all attempts at the request share.
    answer_begun : bool
        Whether a part of its answer had come from the runner.
    """

    fingerprint: str
    answer_begun: bool


class Trial(enum.StrEnum):
    """Whether a quarantined request may be tried once more.

    ``RELEASED`` is said of a request that is not quarantined, and
    ``DENIED`` where another host was sooner or all trials are spent.
    """

    GRANTED = 'granted'
    DENIED = 'denied'
    RELEASED = 'released'


class Quarantine:
    """Requests under which runners crash, kept from further runners.

    Pattern: a request crashes each runner that begins to run it, and is
    sent again, under a new id and at another host each time, as soon as
    runners are back. All other requests there are lost with each crash.

    Which of the requests at a runner crashed it is not known. One that
    crashes runners has mostly got no answer from them, so requests whose
    answer had begun are only blamed where there are no others; and a crash
    that a quarantined request explains is no one else's. A request that
    was at runners which crashed by themselves is told from one that
    crashes them by a trial: an answer that comes to its end clears it.

    Pure: the same calls lead to the same state.
    """

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[
            runner_incarnation.RunnerIncarnation, dict[str, bool]
        ] = collections.OrderedDict()
        self._trials: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(crashes={len(self._crashes)!r}, '
            f'requests={len(self._trials)!r})'
        )

    def __bool__(self) -> bool:
        return bool(self._crashes or self._trials)

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._trials

    @property
    def requests(self) -> tuple[str, ...]:
        """Fingerprints of the quarantined requests."""
        return tuple(self._trials)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was at a runner that crashed."""
        return fingerprint in self._trials or any(
            fingerprint in suspects for suspects in self._crashes.values()
        )

    def trial_count(self, fingerprint: str) -> int:
        """Return how often a quarantined request was tried again."""
        return self._trials.get(fingerprint, 0)

    def note_crash(
        self,
        incarnation: runner_incarnation.RunnerIncarnation,
        suspects: typing.Iterable[Suspect],
    ) -> None:
        """Take a crash, or more of the requests that were there."""
        known = self._crashes.setdefault(incarnation, {})
        self._crashes.move_to_end(incarnation)
        for one in suspects:
            if (
                one.fingerprint not in known
                and len(known) >= MAX_SUSPECTS_PER_CRASH
            ):
                break
            known[one.fingerprint] = one.answer_begun
        while len(self._crashes) > MAX_STORED_CRASHES:
            self._crashes.popitem(last=False)
        self._judge(known)

    def clear(self, fingerprint: str) -> None:
        """Take a request for harmless: a runner answered it to the end.

        What it was blamed for falls back to the others that were there.
        """
        self._trials.pop(fingerprint, None)
        others: set[str] = set()
        for incarnation, suspects in list(self._crashes.items()):
            if suspects.pop(fingerprint, None) is None:
                continue
            others.update(suspects)
            if not suspects:
                del self._crashes[incarnation]
        self._judge(others)

    def take_trial(self, fingerprint: str, taken: int) -> Trial:
        """Let a quarantined request be sent once more, if it may be.

        Parameters
        ----------
        fingerprint : str
            The request.
        taken : int
            Trials that it has had, as far as its host knows.
        """
        known = self._trials.get(fingerprint)
        if known is None:
            return Trial.RELEASED
        self._trials.move_to_end(fingerprint)
        if known != taken or known >= MAX_TRIALS:
            return Trial.DENIED
        self._trials[fingerprint] = taken + 1
        return Trial.GRANTED

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole table as JSON types."""
        crashes = [
            [incarnation.runner_id, incarnation.started_ms, suspects]
            for incarnation, suspects in self._crashes.items()
        ]
        return {'crashes': crashes, 'trials': self._trials}

    def load(self, body: typing.Mapping[str, typing.Any]) -> None:
        """Take what `dump` returned, into an empty table."""
        for runner_id, started_ms, suspects in body['crashes']:
            incarnation = runner_incarnation.RunnerIncarnation(
                runner_id=runner_id, started_ms=started_ms
            )
            self._crashes[incarnation] = suspects
        self._trials.update(body['trials'])

    def _judge(self, fingerprints: typing.Iterable[str]) -> None:
        """Quarantine those that are blamed for enough crashes."""
        # All are counted before one is quarantined: of two that were at
        # the same runners each time, neither explains the other.
        found = [
            one
            for one in fingerprints
            if one not in self._trials
            and self._blames(one) >= CRASHES_TO_QUARANTINE
        ]
        for one in found:
            self._trials[one] = 0
        while len(self._trials) > MAX_QUARANTINED_REQUESTS:
            self._trials.popitem(last=False)

    def _blames(self, fingerprint: str) -> int:
        """Return for how many crashes a request is blamed."""
        return sum(
            fingerprint in suspects and self._is_blamed(fingerprint, suspects)
            for suspects in self._crashes.values()
        )

    def _is_blamed(
        self, fingerprint: str, suspects: typing.Mapping[str, bool]
    ) -> bool:
        if any(one in self._trials for one in suspects):
            return False
        return not suspects[fingerprint] or all(suspects.values())
