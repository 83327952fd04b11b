"""What all handlers of the entry process share."""

import math
import typing

import tornado.web

from limpetroute.entry import answer_format
from limpetroute.entry import host as host_module
from limpetroute.peers import run_end
from limpetroute.telemetry import trace_context

DEFAULT_TEAM = 'default'
STATUS_OF_KIND = {
    run_end.EndKind.NOT_RUN: 503,
    run_end.EndKind.UNKNOWN: 502,
    run_end.EndKind.CANCELLED: 499,
}


class BaseHandler(tornado.web.RequestHandler):
    """Answers in the ecosystem's error shape."""

    host: host_module.Host

    def initialize(self, host: host_module.Host) -> None:
        """Take the process's shared state."""
        self.host = host

    def prepare(self) -> None:
        """Take up the caller's trace, if it sent one."""
        trace_context.receive(self.request.headers.get(trace_context.HEADER))

    @property
    def team(self) -> str:
        """The caller's team."""
        return self.request.headers.get('Limpetroute-Team', DEFAULT_TEAM)

    def fail(
        self,
        status: int,
        message: str,
        *,
        code: str,
        outcome: str = 'not_run',
        param: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Finish with an error."""
        kind = 'invalid_request_error' if status < 500 else 'server_error'
        self.set_status(status, 'Error')
        self.set_header('Limpetroute-Outcome', outcome)
        if retry_after_s is not None:
            self.set_header('Retry-After', str(math.ceil(retry_after_s)))
        self.finish(answer_format.error_body(message, kind, code, param))

    def fail_with_end(self, end: run_end.RunEnd) -> None:
        """Finish with the error that an unsuccessful end stands for."""
        self.fail(
            STATUS_OF_KIND[end.kind],
            f'the request ended as {end.kind}: {end.finish_reason}',
            code=end.finish_reason,
            outcome=str(end.kind),
            retry_after_s=end.retry_after_s,
        )

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer errors raised inside tornado in the same shape."""
        self.fail(status_code, self._reason, code='error')
