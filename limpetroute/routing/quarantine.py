"""Quarantine of requests that crash runners."""

import collections
import dataclasses
import enum
import typing

from limpetroute.routing import runner_incarnation

# Number of crashes blamed on a request after which it is quarantined.
CRASHES_TO_QUARANTINE = 3
# Trials of a quarantined request, over all hosts together.
MAX_TRIALS = 3
# Bounds of the tables. The crash that was reported least recently and the
# request whose trial was requested least recently are removed first.
MAX_STORED_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 64
MAX_QUARANTINED_REQUESTS = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was at a runner when it crashed.

    Parameters
    ----------
    fingerprint : str
        Digest that is equal for all attempts at the request.
    answer_begun : bool
        Whether the runner had sent a part of the answer.
    """

    fingerprint: str
    answer_begun: bool


class Trial(enum.StrEnum):
    """Whether a quarantined request may be sent to a runner once more.

    ``RELEASED`` means that the request is not quarantined, and ``DENIED``
    that another host took the trial or that all trials are used up.
    """

    GRANTED = 'granted'
    DENIED = 'denied'
    RELEASED = 'released'


class Quarantine:
    """Quarantine of requests that crash runners.

    Such a request crashes each runner that starts to run it, and its
    caller sends it again, with a new request id and through another host,
    as soon as runners are back. Each crash loses all other requests at the
    runner.

    Which of the requests at a runner caused a crash is not known. A
    request that crashes runners has usually received no part of an answer.
    Requests whose answer had begun are therefore blamed only if all
    requests at the runner had begun, and no other request is blamed for a
    crash at which a quarantined request was present. A request that only
    happened to be at crashing runners is recognised by a trial: a complete
    answer clears it.

    The state depends only on the sequence of calls.
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
        """Return the number of trials of a quarantined request."""
        return self._trials.get(fingerprint, 0)

    def note_crash(
        self,
        incarnation: runner_incarnation.RunnerIncarnation,
        suspects: typing.Iterable[Suspect],
    ) -> None:
        """Add a crash, or add suspects to a known crash."""
        stored = self._crashes.setdefault(incarnation, {})
        self._crashes.move_to_end(incarnation)
        for suspect in suspects:
            if (
                suspect.fingerprint not in stored
                and len(stored) >= MAX_SUSPECTS_PER_CRASH
            ):
                break
            stored[suspect.fingerprint] = suspect.answer_begun
        while len(self._crashes) > MAX_STORED_CRASHES:
            self._crashes.popitem(last=False)
        self._quarantine_blamed(stored)

    def clear(self, fingerprint: str) -> None:
        """Remove a request that a runner has answered completely.

        The crashes that it was blamed for count against the other
        suspects again.
        """
        self._trials.pop(fingerprint, None)
        others: set[str] = set()
        for incarnation, suspects in list(self._crashes.items()):
            if suspects.pop(fingerprint, None) is None:
                continue
            others.update(suspects)
            if not suspects:
                del self._crashes[incarnation]
        self._quarantine_blamed(others)

    def take_trial(self, fingerprint: str, trials_seen: int) -> Trial:
        """Grant one more trial of a quarantined request, if allowed.

        Parameters
        ----------
        fingerprint : str
            The request.
        trials_seen : int
            Number of the request's trials that the asking host knows of.
            The trial is denied if another host has taken one meanwhile.
        """
        trials = self._trials.get(fingerprint)
        if trials is None:
            return Trial.RELEASED
        self._trials.move_to_end(fingerprint)
        if trials != trials_seen or trials >= MAX_TRIALS:
            return Trial.DENIED
        self._trials[fingerprint] = trials_seen + 1
        return Trial.GRANTED

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state as JSON types."""
        crashes = [
            [incarnation.runner_id, incarnation.started_ms, suspects]
            for incarnation, suspects in self._crashes.items()
        ]
        return {'crashes': crashes, 'trials': self._trials}

    def load(self, body: typing.Mapping[str, typing.Any]) -> None:
        """Load the result of `dump` into an empty quarantine."""
        for runner_id, started_ms, suspects in body['crashes']:
            incarnation = runner_incarnation.RunnerIncarnation(
                runner_id=runner_id, started_ms=started_ms
            )
            self._crashes[incarnation] = suspects
        self._trials.update(body['trials'])

    def _quarantine_blamed(self, fingerprints: typing.Iterable[str]) -> None:
        """Quarantine the requests that are blamed for enough crashes."""
        # All blames are counted before any request is quarantined. If two
        # requests were at the same runners at each crash, both must be
        # quarantined; quarantining the first would clear the second.
        blamed = [
            fingerprint
            for fingerprint in fingerprints
            if fingerprint not in self._trials
            and self._blame_count(fingerprint) >= CRASHES_TO_QUARANTINE
        ]
        for fingerprint in blamed:
            self._trials[fingerprint] = 0
        while len(self._trials) > MAX_QUARANTINED_REQUESTS:
            self._trials.popitem(last=False)

    def _blame_count(self, fingerprint: str) -> int:
        """Return the number of crashes that a request is blamed for."""
        return sum(
            fingerprint in suspects and self._is_blamed(fingerprint, suspects)
            for suspects in self._crashes.values()
        )

    def _is_blamed(
        self, fingerprint: str, suspects: typing.Mapping[str, bool]
    ) -> bool:
        if any(suspect in self._trials for suspect in suspects):
            return False
        return not suspects[fingerprint] or all(suspects.values())
