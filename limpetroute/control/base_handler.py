"""Base class of a control host's HTTP handlers."""

import dataclasses
import gzip
import json
import typing

import pydantic
import tornado.web

from limpetroute.border import errors
from limpetroute.control import commands
from limpetroute.control import group as group_module
from limpetroute.control import node as node_module
from limpetroute.control import results
from limpetroute.control import verdicts

NOT_LEADER = 421
NOT_RUN = 503
UNKNOWN = 504
RETRY_AFTER_S = 1
MIN_GZIP_BYTES = 1024
# Takes half the CPU time of the default level for bodies a tenth larger.
GZIP_LEVEL = 1

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


class BaseHandler(tornado.web.RequestHandler):
    """Base class of a control host's HTTP handlers."""

    def initialize(self, node: node_module.Node) -> None:
        """Store the host's node."""
        self.node = node

    def parse(self, model: type[_Model]) -> _Model | None:
        """Return the validated body, or reply 400 and return None."""
        try:
            return errors.parse(model, self.request.body)
        except errors.InvalidInputError as exc:
            self.set_status(400)
            self.finish({'outcome': 'invalid', 'errors': list(exc.lines)})
            return None

    async def commit(
        self,
        group: group_module.Group,
        command: commands.Command,
        timeout_s: float,
    ) -> results.Result | None:
        """Commit a command and return its result.

        If it was not committed, replies with the reason and returns None.
        """
        limit_s = min(timeout_s, self.node.settings.commit_timeout_s)
        verdict = await group.commit(command, limit_s)
        if isinstance(verdict, verdicts.Committed):
            if isinstance(verdict.result, results.Full):
                self._not_run(verdict.result.reason)
                return None
            return verdict.result
        if isinstance(verdict, verdicts.Unknown):
            self.set_status(UNKNOWN)
            self.finish({'outcome': 'unknown', 'reason': verdict.reason})
            return None
        self.refuse(verdict.leader_host, verdict.reason)
        return None

    def refuse(self, leader_host: str, reason: str) -> None:
        """Reply that nothing was written, with the leader's URL if known."""
        leader_url = self.node.url_of(leader_host)
        if leader_url and leader_host != self.node.settings.host_id:
            self.set_status(NOT_LEADER)
            self.finish({'outcome': 'not_leader', 'leader_url': leader_url})
            return
        self._not_run(reason)

    def reply(self, outcome: str, result: results.Result) -> None:
        """Reply with an outcome and a result's fields."""
        body = {'outcome': outcome, **dataclasses.asdict(result)}
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body, separators=(',', ':')))

    def finish_gzipped(self, body: bytes) -> None:
        """Reply with a JSON body, compressed unless it is small."""
        self.set_header('Content-Type', 'application/json')
        if len(body) < MIN_GZIP_BYTES:
            self.finish(body)
            return
        self.finish_packed(gzip.compress(body, GZIP_LEVEL, mtime=0))

    def finish_packed(self, data: bytes) -> None:
        """Reply with a JSON body that is already gzipped."""
        self.set_header('Content-Type', 'application/json')
        self.set_header('Content-Encoding', 'gzip')
        self.finish(data)

    def _not_run(self, reason: str) -> None:
        self.set_status(NOT_RUN)
        self.set_header('Retry-After', str(RETRY_AFTER_S))
        self.finish(
            {
                'outcome': 'not_run',
                'reason': reason,
                'retry_after_s': RETRY_AFTER_S,
            }
        )
