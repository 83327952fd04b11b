"""Logs what runners' responses say about further requests."""

import logging
import math

from tornado import httputil

from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import fleet_view
from limpetroute.routing import runner_info

LOG = logging.getLogger(__name__)


class ResponseMonitor:
    """Logs what runners' responses say about further requests.

    Parameters
    ----------
    dialect : Dialect
        Formats of responses.
    view : FleetView
        The known runners.
    """

    def __init__(
        self,
        *,
        dialect: dialect_module.Dialect,
        view: fleet_view.FleetView,
    ) -> None:
        self._dialect = dialect
        self._view = view

    def __repr__(self) -> str:
        return f'{type(self).__name__}(view={self._view!r})'

    def note_response(
        self,
        runner: runner_info.RunnerInfo,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Log the backoff and the departure that a response announces."""
        if self._dialect.is_misdirected(status):
            return
        text = self._dialect.backoff_text(status, headers)
        if text is not None:
            self._note_backoff(runner, text)
        if self._dialect.is_leaving(headers):
            self._note_leaving(runner)

    def _note_backoff(self, runner: runner_info.RunnerInfo, text: str) -> None:
        backoff_s = _parse_seconds(text)
        if backoff_s is None:
            LOG.warning(
                'invalid backoff of a runner',
                extra={'runner': runner.runner_id, 'text': text[:80]},
            )
            return
        LOG.info(
            'runner asked this host to back off',
            extra={
                'runner': runner.runner_id,
                'backoff_ms': round(backoff_s * 1000),
                'own_requests': self._view.load(runner.runner_id).requests,
            },
        )

    def _note_leaving(self, runner: runner_info.RunnerInfo) -> None:
        current = self._view.runner(runner.runner_id)
        LOG.info(
            'runner announced that it is leaving',
            extra={
                'runner': runner.runner_id,
                'address': runner.address,
                'is_ready': current is not None and current.ready,
            },
        )


def _parse_seconds(text: str) -> float | None:
    """Return a duration in seconds, or None if it is invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0.0:
        return None
    return seconds
