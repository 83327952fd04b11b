"""``POST /v1/entry-hosts``: entry hosts learn of each other."""

from limpetroute.border import balancing_settings
from limpetroute.border import entry_hosts_body
from limpetroute.control import base_handler
from limpetroute.routing import balancing


class EntryHostsHandler(base_handler.BaseHandler):
    """``POST /v1/entry-hosts``."""

    def post(self) -> None:
        """Record the reporting host and return the list if it changed."""
        report = self.parse(entry_hosts_body.EntryReportBody)
        if report is None:
            return
        directory = self.node.entry_directory
        now_s = self.node.now_s
        directory.note(report.host, now_s)
        cores = balancing_settings.parse_cores(
            self.request.headers.get(balancing_settings.CORES_HEADER)
        )
        if cores is not None:
            self.node.balancing.note_host(report.host.host_id, cores, now_s)
        mode = balancing.BalancingMode.LOCAL
        if self.node.balancing.is_shared(now_s):
            mode = balancing.BalancingMode.SHARED
        self.set_header(balancing_settings.BALANCING_HEADER, mode.value)
        if self.node.balancing.leases_plain_slots:
            self.set_header(balancing_settings.PLAIN_SLOTS_HEADER, '1')
        is_known = report.digest == directory.digest
        body = entry_hosts_body.EntryHostsBody(
            digest=directory.digest,
            hosts=None if is_known else directory.hosts(),
        )
        self.finish_gzipped(body.model_dump_json().encode())
