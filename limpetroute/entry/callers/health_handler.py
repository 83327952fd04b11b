"""``GET /healthz`` and ``GET /readyz``."""

from limpetroute.entry.callers import base_handler
from limpetroute.entry.hosting import host as host_module


class HealthHandler(base_handler.BaseHandler):
    """Reports whether the process is alive, or accepts requests."""

    def initialize(  # type: ignore[override]
        self, host: host_module.Host, readiness: bool
    ) -> None:
        """Keep the shared state and which of the two checks this is."""
        super().initialize(host)
        self._readiness = readiness

    def get(self) -> None:
        """Answer 200, or 503 if readiness is checked and missing."""
        if self._readiness and not self.host.ready:
            self.set_status(503)
            self.finish({'ready': False})
            return
        self.finish({'ready': self.host.ready})
