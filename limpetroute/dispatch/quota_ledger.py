"""Charges requests to teams' quotas while this control host leads."""

import logging
import typing

from limpetroute.routing import placement
from limpetroute.routing import quota_verdict
from limpetroute.routing import quota_window
from limpetroute.routing import team_index
from limpetroute.routing import team_quotas

LOG = logging.getLogger(__name__)


class QuotaLedger:
    """Charges requests to teams' quotas while this control host leads.

    Parameters
    ----------
    window : QuotaWindow
        Window in which quotas hold.
    """

    def __init__(self, *, window: quota_window.QuotaWindow) -> None:
        self._window = window
        self._teams = team_index.TeamIndex(teams=())
        self._quotas = team_quotas.TeamQuotas(window=window)
        self._over: set[str] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(quotas={self._quotas!r})'

    def begin_term(self) -> None:
        """Drop what was charged in an earlier term; hosts report it."""
        self._quotas = team_quotas.TeamQuotas(window=self._window)
        self._quotas.set_teams(self._teams)
        self._over.clear()

    def set_teams(self, teams: team_index.TeamIndex) -> None:
        """Set the teams of the configuration in force."""
        self._teams = teams
        self._quotas.set_teams(teams)

    def charge(
        self, request: placement.PlacementRequest, now_s: float
    ) -> placement.Rejection | None:
        """Charge a stream to its team; return a rejection over its quota."""
        verdict = self._quotas.admit(request.team, request.quota_cost, now_s)
        if verdict.allowed:
            return None
        self._note_refusal(request.team, verdict)
        return placement.Rejection(
            request_id=request.request_id,
            retry_after_s=verdict.wait_s,
            reason='over quota',
            over_quota=True,
        )

    def give_back(
        self, request: placement.PlacementRequest, now_s: float
    ) -> None:
        """Give back the cost of a stream that was not placed."""
        if request.quota_cost:
            self._quotas.charge(request.team, -request.quota_cost, now_s)

    def note_spent(
        self,
        host_id: str,
        spent: typing.Mapping[str, float],
        history: typing.Mapping[str, typing.Sequence[tuple[float, float]]],
        now_s: float,
    ) -> dict[str, float | None]:
        """Charge what a host let run; return what is left, by team.

        Parameters
        ----------
        host_id : str
            The host.
        spent : mapping of str to float
            Units since its last report.
        history : mapping of str to sequence of (float, float)
            Age in seconds and units of what was used under earlier leaders.
        now_s : float
            Time of a monotonic clock.
        """
        self._quotas.restore(host_id, history, now_s)
        for team, units in spent.items():
            self._quotas.charge(team, units, now_s)
        return {
            team: self._quotas.level(team, now_s)
            for team in {*spent, *history}
        }

    def low_teams(self, now_s: float) -> list[str]:
        """Return the teams that are near their quota."""
        return self._quotas.low(now_s)

    def describe(self, count: int, now_s: float) -> list[dict[str, object]]:
        """Return the teams nearest to their quotas as JSON types."""
        over = self._quotas.over(now_s)
        return [
            {
                'team': one.team,
                'left': round(one.level),
                'limit': round(one.limit),
                'over_quota': one.team in over,
            }
            for one in self._quotas.nearest(now_s, count)
        ]

    def log_calm_teams(self, now_s: float) -> None:
        """Log the teams of which no stream was refused lately."""
        if not self._over:
            return
        calm = self._over - self._quotas.over(now_s)
        for team in sorted(calm):
            LOG.info('team is below its quota', extra={'team': team})
        self._over -= calm

    def _note_refusal(
        self, team: str, verdict: quota_verdict.QuotaVerdict
    ) -> None:
        """Log once that a team has reached its quota."""
        if team in self._over:
            return
        self._over.add(team)
        LOG.info(
            'team reached its quota',
            extra={
                'team': team,
                'left': round(verdict.level),
                'wait_ms': round(verdict.wait_s * 1000),
            },
        )
