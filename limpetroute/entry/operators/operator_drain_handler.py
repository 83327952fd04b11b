"""Handlers on the internal port that start and end drains."""

import logging

from limpetroute.entry.callers import base_handler

LOG = logging.getLogger(__name__)

HTTP_NOT_FOUND = 404


class OperatorDrainRunnerHandler(base_handler.BaseHandler):
    """Drains a runner: this host sends it no new work."""

    def post(self, runner_id: str) -> None:
        """Start the drain; work on the runner continues to its end."""
        body = self.host.runners.get(runner_id)
        self.host.drain_runner(runner_id)
        running = body.report.running if body and body.report else 0
        if body is None:
            self.set_status(HTTP_NOT_FOUND)
        self.finish(
            {
                'runner_id': runner_id,
                'known': body is not None,
                'running': running,
            }
        )

    def delete(self, runner_id: str) -> None:
        """End the drain."""
        self.host.undrain_runner(runner_id)
        self.finish({'runner_id': runner_id})


class OperatorDrainHostHandler(base_handler.BaseHandler):
    """Drains this host: it refuses new work."""

    def post(self) -> None:
        """Start the drain; work in progress continues to its end."""
        LOG.info('operator started the drain of this host')
        self.host.draining = True
        self.finish({'draining': True})

    def delete(self) -> None:
        """End the drain."""
        LOG.info('operator ended the drain of this host')
        self.host.draining = False
        self.finish({'draining': False})
