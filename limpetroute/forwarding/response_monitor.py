"""Records what runners' responses say about further requests."""

import asyncio
import logging
import math
import typing

from tornado import httputil

from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import fleet_view
from limpetroute.routing import placement_hints
from limpetroute.routing import runner_availability
from limpetroute.routing import runner_info

LOG = logging.getLogger(__name__)


class ResponseMonitor:
    """Records what runners' responses say about further requests.

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
        self._availability = runner_availability.RunnerAvailability()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(availability={self._availability!r})'

    def note_response(
        self,
        runner: runner_info.RunnerInfo,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Record the backoff and the departure that a response announces."""
        if self._dialect.is_misdirected(status):
            return
        text = self._dialect.backoff_text(status, headers)
        if text is not None:
            self._note_backoff(runner, text)
        if self._dialect.is_leaving(headers):
            self._note_leaving(runner)

    def accepts(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a request may be sent to a runner now."""
        return self._availability.accepts(runner, _now_s())

    def accepting(self, service: str) -> list[runner_info.RunnerInfo]:
        """Return a service's runners that accept requests from this host."""
        return self._availability.accepting(
            self._view.runners(service), _now_s()
        )

    def first_backoff_end_s(self, service: str) -> float:
        """Return the time until a service's first backoff ends, or 0."""
        return self._availability.first_backoff_end_s(
            self._view.runners(service), _now_s()
        )

    def placement_hints(
        self,
        service: str,
        *,
        tried: typing.Collection[str],
        shedding: typing.Collection[str],
        is_prefilled: bool,
    ) -> placement_hints.PlacementHints:
        """Return what the leader cannot know about a stream to place.

        Parameters
        ----------
        service : str
            The stream's service.
        tried : collection of str
            Runners that it is not sent to again.
        shedding : collection of str
            Runners that refused it although it had been placed.
        is_prefilled : bool
            Whether a prefill runner holds the KV cache of its prompt.
        """
        now_s = _now_s()
        backoffs_s = {}
        leaving = []
        for runner in self._view.runners(service):
            if self._availability.is_leaving(runner):
                leaving.append(runner.incarnation)
                continue
            wait_s = self._availability.backoff_s(runner.runner_id, now_s)
            if wait_s and runner.runner_id not in tried:
                backoffs_s[runner.runner_id] = wait_s
        return placement_hints.PlacementHints(
            backoffs_s=backoffs_s,
            leaving=tuple(leaving),
            shedding=tuple(sorted(shedding)),
            is_prefilled=is_prefilled,
        )

    def _note_backoff(self, runner: runner_info.RunnerInfo, text: str) -> None:
        backoff_s = _parse_seconds(text)
        if backoff_s is None:
            LOG.warning(
                'invalid backoff of a runner',
                extra={'runner': runner.runner_id, 'text': text[:80]},
            )
            return
        self._availability.note_backoff(runner.runner_id, _now_s() + backoff_s)
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
        if current is not None and current.incarnation != runner.incarnation:
            # The response may be that of the process before a restart.
            return
        if self._availability.note_leaving(runner.incarnation):
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


def _now_s() -> float:
    return asyncio.get_running_loop().time()
