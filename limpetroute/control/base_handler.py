"""Base class of a control host's HTTP handlers."""

import dataclasses
import gzip
import json
import math
import re
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

# Python converts no longer text to an integer.
MAX_DIGITS = 4300
_INTEGER = re.compile('-?[0-9]+')
# Characters of an invalid value that are quoted in the reply.
MAX_QUOTED_CHARS = 20
HTTP_BAD_REQUEST = 400

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


class InvalidQueryError(tornado.web.HTTPError):
    """A parameter of the query has no valid value.

    A default in its place could pass for the newest or the oldest state.

    Parameters
    ----------
    name : str
        The parameter.
    text : str
        Its value.
    expected : str
        What its value should have been.
    """

    def __init__(self, name: str, text: str, expected: str) -> None:
        self.detail = f'{name}: {text[:MAX_QUOTED_CHARS]!r} is not {expected}'
        super().__init__(HTTP_BAD_REQUEST, '%s', self.detail)


class BaseHandler(tornado.web.RequestHandler):
    """Base class of a control host's HTTP handlers."""

    def initialize(self, node: node_module.Node) -> None:
        """Store the host's node."""
        self.node = node

    def query_integer(
        self, name: str, default: int, *, minimum: int = 0
    ) -> int:
        """Return an integer of the query, exactly, or a default if absent.

        Raises
        ------
        InvalidQueryError
            If the value is not an integer, or is below ``minimum``.
        """
        text = self.get_query_argument(name, '')
        if not text:
            return default
        if _INTEGER.fullmatch(text) is None or len(text) > MAX_DIGITS:
            raise InvalidQueryError(name, text, 'an integer')
        number = int(text)
        if number < minimum:
            raise InvalidQueryError(name, text, f'at least {minimum}')
        return number

    def query_seconds(self, name: str) -> float:
        """Return a time of the query in seconds, 0 if absent.

        Raises
        ------
        InvalidQueryError
            If the value is not a finite number, or is negative.
        """
        text = self.get_query_argument(name, '')
        try:
            seconds = float(text or 0)
        except ValueError:
            seconds = math.nan
        if not 0 <= seconds < math.inf:
            raise InvalidQueryError(name, text, 'a time in seconds')
        return seconds

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Name what is invalid in a query."""
        error = kwargs.get('exc_info', (None, None, None))[1]
        if not isinstance(error, InvalidQueryError):
            super().write_error(status_code, **kwargs)
            return
        self.finish({'outcome': 'invalid', 'errors': [error.detail]})

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
