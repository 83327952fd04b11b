"""``GET /metrics`` on the internal port."""

from limpetroute.entry.callers import base_handler

HTTP_NOT_FOUND = 404


class MetricsHandler(base_handler.BaseHandler):
    """Returns the metrics in the Prometheus text format."""

    def get(self) -> None:
        """Answer with all metrics, or 404 if they are pushed instead."""
        text = self.host.exports.text()
        if text is None:
            self.fail(HTTP_NOT_FOUND, 'metrics are pushed', code='not_here')
            return
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(text)
