"""``GET /metrics`` of the internal port."""

from limpetroute.entry.callers import base_handler

HTTP_NOT_FOUND = 404


class MetricsHandler(base_handler.BaseHandler):
    """Shows the metrics in Prometheus' text form."""

    def get(self) -> None:
        """Answer with all metrics, or 404 where they are pushed."""
        text = self.host.exports.text()
        if text is None:
            self.fail(HTTP_NOT_FOUND, 'metrics are pushed', code='not_here')
            return
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(text)
