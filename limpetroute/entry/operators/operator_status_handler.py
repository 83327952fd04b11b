"""``GET /v1/operator/status`` on the internal port."""

import os
import time

from limpetroute.entry.callers import base_handler


class OperatorStatusHandler(base_handler.BaseHandler):
    """Returns the state of this host."""

    def get(self) -> None:
        """Answer with the state as a JSON object."""
        host = self.host
        manifest = host.manifest
        self.finish(
            {
                'host_id': host.settings.host_id,
                'zone': host.settings.zone,
                'pid': os.getpid(),
                'ready': host.ready,
                'draining': host.draining,
                'manifest_number': manifest.number if manifest else None,
                'requests_in_progress': host.in_progress,
                'records': len(host.records),
                'runners': len(host.runners),
                'drained_runners': sorted(host.drained_runners),
                'cpu_s': time.process_time(),
            }
        )
