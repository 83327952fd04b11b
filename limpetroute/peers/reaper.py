"""Finds streams that a runner writes and no host claims."""

import dataclasses
import typing

__all__ = ['Reaper']


@dataclasses.dataclass(kw_only=True, slots=True)
class _Unclaimed:
    since_s: float
    incarnation: int


class Reaper:
    """The last guard against engine memory that nobody waits for.

    It needs no record: a run that the runner itself reports, and that
    no live host claims for ``grace_s``, is ended. A claim by any host
    starts the time anew, and so does a host that may hold the claim
    and cannot be asked: a request that is only slow, or is being taken
    over, is left alone.

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
            The runner, and its start.
        runs : iterable of str
            Runs it reports.
        claimed : container of str
            Runs that a host claimed just now.
        unsure : bool
            Whether a host that may claim runs could not be asked.
        now_s : float
            Now.
        """
        reported = set(runs)
        for place in list(self._unclaimed):
            if place[0] == runner_id and place[1] not in reported:
                del self._unclaimed[place]
        due = []
        for run_id in sorted(reported):
            place = (runner_id, run_id)
            if unsure or run_id in claimed:
                self._unclaimed.pop(place, None)
                continue
            seen = self._unclaimed.get(place)
            if seen is None or seen.incarnation != incarnation:
                self._unclaimed[place] = _Unclaimed(
                    since_s=now_s, incarnation=incarnation
                )
                continue
            if now_s - seen.since_s >= self._grace_s:
                due.append(run_id)
        return due

    def forget(self, runner_id: str) -> None:
        """Forget a runner that this host does not act for any more."""
        for place in list(self._unclaimed):
            if place[0] == runner_id:
                del self._unclaimed[place]
