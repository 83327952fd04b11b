"""``POST`` and ``DELETE`` of drains on the internal port."""

import logging

from limpetroute.entry.callers import base_handler

LOG = logging.getLogger(__name__)

HTTP_NOT_FOUND = 404


class OperatorDrainRunnerHandler(base_handler.BaseHandler):
    """Marks a runner as one that gets no new work from this host."""

    def post(self, runner_id: str) -> None:
        """Set the mark; what runs there goes on to its end."""
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
        """Take the mark away."""
        self.host.undrain_runner(runner_id)
        self.finish({'runner_id': runner_id})


class OperatorDrainHostHandler(base_handler.BaseHandler):
    """Makes this host refuse new work, or take it again."""

    def post(self) -> None:
        """Refuse new work; what is in progress goes on to its end."""
        LOG.info('host drained by an operator')
        self.host.draining = True
        self.finish({'draining': True})

    def delete(self) -> None:
        """Take new work again."""
        LOG.info('host given work again')
        self.host.draining = False
        self.finish({'draining': False})
