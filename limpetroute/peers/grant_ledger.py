"""Grants that one entry host uses at runners."""

import dataclasses
import typing

from limpetroute.peers import grant
from limpetroute.peers import grant_config

__all__ = ['GrantLedger', 'LedgerLine']


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerLine:
    """One grant, as recorded by the entry host that uses it.

    Parameters
    ----------
    runner_id : str
        Runner at which the capacity is granted.
    holder_id : str
        Host that granted it.
    grant : Grant
        The grant.
    fence : int
        Fencing number to send with the orders to the runner.
    until_s : float
        When it expires, unless renewed.
    started : bool
        Whether the run was started. From then on the runner's reports
        account for it, and the grant is not renewed.
    """

    runner_id: str
    holder_id: str
    grant: grant.Grant
    fence: int
    until_s: float
    started: bool = False


class GrantLedger:
    """Keeps grants and decides which may still be used.

    Parameters
    ----------
    config : GrantConfig
        Durations of the grants.
    """

    __slots__ = ('_config', '_lines')

    def __init__(self, *, config: grant_config.GrantConfig) -> None:
        self._config = config
        self._lines: dict[tuple[str, str], LedgerLine] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(lines={len(self._lines)!r})'

    def __len__(self) -> int:
        return len(self._lines)

    def lines(self) -> tuple[LedgerLine, ...]:
        """Return all grants."""
        return tuple(self._lines.values())

    def add(
        self,
        *,
        runner_id: str,
        holder_id: str,
        asked: grant.Grant,
        given: grant.GrantGiven,
        asked_s: float,
    ) -> LedgerLine:
        """Record a new or renewed grant; it is valid from ``asked_s`` on."""
        drift = self._config.drift
        use_s = given.valid_s * (1 - drift) / (1 + drift)
        old = self.find(runner_id, asked.work_id)
        line = LedgerLine(
            runner_id=runner_id,
            holder_id=holder_id,
            grant=asked,
            fence=given.fence,
            until_s=asked_s + use_s,
            started=old is not None and old.started,
        )
        self._lines[runner_id, asked.work_id] = line
        return line

    def pop(self, runner_id: str, work_id: str) -> LedgerLine | None:
        """Remove and return a grant, or return None."""
        return self._lines.pop((runner_id, work_id), None)

    def find(self, runner_id: str, work_id: str) -> LedgerLine | None:
        """Return a grant, or None."""
        return self._lines.get((runner_id, work_id))

    def start(self, runner_id: str, work_id: str, now_s: float) -> bool:
        """Mark the run as started, if its grant is valid for long enough.

        A holder that froze or was cut off is replaced when its lease
        expires. An order sent later than this check allows could arrive
        after that and use capacity that was granted to another request.
        """
        line = self.find(runner_id, work_id)
        if line is None:
            return False
        if now_s + self._config.order_flight_s >= line.until_s:
            return False
        started = dataclasses.replace(line, started=True)
        self._lines[runner_id, work_id] = started
        return True

    def due(
        self, now_s: float, holders: typing.Mapping[str, str]
    ) -> list[LedgerLine]:
        """Return grants to renew, or to reclaim at a new lease holder.

        Parameters
        ----------
        now_s : float
            Now.
        holders : mapping of str to str
            Lease holder of each runner for which it is known.
        """
        margin_s = self._config.order_flight_s + self._config.valid_s / 4
        due = []
        for line in self._lines.values():
            holder_id = holders.get(line.runner_id, line.holder_id)
            if holder_id != line.holder_id:
                due.append(line)
                continue
            if not line.started and line.until_s - now_s < margin_s:
                due.append(line)
        return due
