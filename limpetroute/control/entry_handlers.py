"""``POST /v1/entry-hosts``: entry hosts learn of each other."""

from limpetroute.border import entry_hosts_body
from limpetroute.control import base_handler


class EntryHostsHandler(base_handler.BaseHandler):
    """``POST /v1/entry-hosts``."""

    def post(self) -> None:
        """Record the reporting host and return the list if it changed."""
        report = self.parse(entry_hosts_body.EntryReportBody)
        if report is None:
            return
        directory = self.node.entry_directory
        directory.note(report.host, self.node.now_s)
        is_known = report.digest == directory.digest
        body = entry_hosts_body.EntryHostsBody(
            digest=directory.digest,
            hosts=None if is_known else directory.hosts(),
        )
        self.finish_gzipped(body.model_dump_json().encode())
