"""Finds runs at a runner that no host claims."""

import dataclasses
import typing

__all__ = ['Reaper']


@dataclasses.dataclass(kw_only=True, slots=True)
class _Unclaimed:
    since_s: float
    incarnation: int


class Reaper:
    """Finds orphaned runs, which occupy engine memory without a caller.

    It works without a record of the request: a run that the runner
    itself reports, and that no live host claims for ``grace_s``, is to
    be ended. The time restarts with each claim, and whenever a host that
    may have a claim cannot be asked. A request that is only slow, or is
    being taken over, is therefore left alone.

    Parameters
    ----------
    grace_s : float
        Time without a claim after which a run is ended.
    """

    __slots__ = ('_grace_s', '_unclaimed')

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._unclaimed: dict[tuple[str, str], _Unclaimed] = {}

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(grace_s={self._grace_s!r}, '
            f'unclaimed={len(self._unclaimed)!r})'
        )

    def check(
        self,
        *,
        runner_id: str,
        incarnation: int,
        runs: typing.Iterable[str],
        claimed: typing.Container[str],
        unsure: bool,
        now_s: float,
    ) -> list[str]:
        """Return the runs to end now.

        Parameters
        ----------
        runner_id, incarnation : str, int
            The runner and its incarnation.
        runs : iterable of str
            Runs that the runner reports.
        claimed : container of str
            Runs that some host claims now.
        unsure : bool
            Whether a host that may claim runs could not be asked.
        now_s : float
            Now.
        """
        reported = set(runs)
        for key in list(self._unclaimed):
            if key[0] == runner_id and key[1] not in reported:
                del self._unclaimed[key]
        due = []
        for run_id in sorted(reported):
            key = (runner_id, run_id)
            if unsure or run_id in claimed:
                self._unclaimed.pop(key, None)
                continue
            seen = self._unclaimed.get(key)
            if seen is None or seen.incarnation != incarnation:
                self._unclaimed[key] = _Unclaimed(
                    since_s=now_s, incarnation=incarnation
                )
                continue
            if now_s - seen.since_s >= self._grace_s:
                due.append(run_id)
        return due

    def remove_runner(self, runner_id: str) -> None:
        """Drop the state of a runner whose lease this host no longer holds."""
        for key in list(self._unclaimed):
            if key[0] == runner_id:
                del self._unclaimed[key]
