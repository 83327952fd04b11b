"""Base class of all HTTP handlers of the entry process."""

import http.client
import math
import re
import typing

import tornado.web

from limpetroute.entry.callers import answer_format
from limpetroute.entry.callers import end_status
from limpetroute.entry.hosting import host as host_module
from limpetroute.entry.peering import peer_codec
from limpetroute.entry.peering import peer_relay
from limpetroute.peers import run_end
from limpetroute.telemetry import trace_context

DEFAULT_TEAM = 'default'
TEAM_PATTERN = re.compile(r'[\w.:/-]{1,200}')
BEARER = 'bearer '
MAX_HEADERS = 100
MAX_KEY_CHARS = 255
MAX_HEADER_BYTES = 16384
INTERNAL_ERROR = 500
PENDING = 'pending'


class BaseHandler(tornado.web.RequestHandler):
    """Authenticates callers, relays requests and formats errors."""

    host: host_module.Host
    _team: str | None = None
    _caller_gone = False

    def initialize(self, host: host_module.Host) -> None:
        """Keep the state that all handlers share."""
        self.host = host

    def prepare(self) -> None:
        """Continue the caller's trace and reject headers over the limits."""
        self.host.open_handlers.add(self)
        trace_context.receive(self.request.headers.get(trace_context.HEADER))
        fields = list(self.request.headers.get_all())
        size = sum(len(name) + len(value) for name, value in fields)
        if len(fields) <= MAX_HEADERS and size <= MAX_HEADER_BYTES:
            return
        self.fail(
            431,
            f'at most {MAX_HEADERS} headers and {MAX_HEADER_BYTES} bytes',
            code='headers_too_large',
        )

    def on_finish(self) -> None:
        """Remove the request from those in progress."""
        self.host.open_handlers.discard(self)

    @property
    def team(self) -> str:
        """The caller's team, once `authenticate` has found it."""
        if self._team is None:
            raise RuntimeError('the caller is not authenticated')
        return self._team

    @property
    def key(self) -> str | None:
        """The caller's idempotency key."""
        return self.request.headers.get('Idempotency-Key')

    def has_valid_key(self) -> bool:
        """Whether the key is valid or absent; answer 400 if not."""
        if self.key is None or 1 <= len(self.key) <= MAX_KEY_CHARS:
            return True
        self.fail(
            400,
            f'Idempotency-Key: 1 to {MAX_KEY_CHARS} characters',
            code='invalid_key',
            param='Idempotency-Key',
        )
        return False

    def authenticate(self) -> bool:
        """Find the caller's team; answer 401 if there is none."""
        if self.request.path.startswith(peer_relay.PREFIX):
            # Only the internal port serves these paths, and the peer
            # that relays the request has authenticated the caller.
            self._team = self.request.headers.get(peer_relay.TEAM_HEADER)
            if self._team is not None:
                return True
        index = self.host.manifest_index
        if not index.has_tokens:
            return self._use_team_header()
        given = self.request.headers.get('Authorization', '')
        if given[: len(BEARER)].lower() == BEARER:
            self._team = index.team_of(given[len(BEARER) :].strip())
        if self._team is not None:
            return True
        self.set_header('WWW-Authenticate', 'Bearer')
        self.fail(
            401,
            'no valid token; send it as: Authorization: Bearer TOKEN',
            code='invalid_api_key',
        )
        return False

    def _use_team_header(self) -> bool:
        self._team = DEFAULT_TEAM
        given = self.request.headers.get('Limpetroute-Team')
        if given is None or not self.host.settings.believe_team_header:
            return True
        if TEAM_PATTERN.fullmatch(given) is None:
            self.fail(
                400,
                f'Limpetroute-Team: {given[:80]!r} is no team name',
                code='invalid_team',
                param='Limpetroute-Team',
            )
            return False
        self._team = given
        return True

    @property
    def is_relayed(self) -> bool:
        """Whether a peer relayed the request."""
        return self.request.path.startswith(peer_relay.PREFIX)

    async def relay(
        self,
        *,
        key: str = '',
        request_id: str = '',
        run_id: str = '',
        body: bytes = b'',
    ) -> bool:
        """Relay the request to the peer that holds its record.

        Returns
        -------
        bool
            False if no other host holds the record, so that this host
            must answer.
        """
        peers = self.host.peers
        if peers is None or self.is_relayed:
            return False
        timeout_s = self.host.settings.peers.takeover_wait_s
        if key:
            found, unsure = await peers.lookup.claim(
                self.team, key, timeout_s=timeout_s
            )
        else:
            call = peer_codec.LookupCall(
                team=self.team, request_id=request_id, run_id=run_id
            )
            found, unsure = await peers.lookup.find(call, timeout_s=timeout_s)
        if found == peers.host_id or (found is None and not unsure):
            return False
        url = peers.url_of(found) if found is not None else None
        if url is not None and await peers.relay.relay(
            self,
            url,
            team=self.team,
            body=body,
            caller_is_gone=lambda: self._caller_gone,
        ):
            return True
        self.fail(
            503,
            'the request is being taken over from a host that is gone',
            code='being_taken_over',
            outcome='unknown',
            retry_after_s=1,
        )
        return True

    def settle(self, key: str) -> None:
        """End this host's claim on a key."""
        if self.host.peers is not None:
            self.host.peers.lookup.settle(self.team, key)

    def on_connection_close(self) -> None:
        """Note that the caller has disconnected."""
        self._caller_gone = True
        self.host.open_handlers.discard(self)
        # The superclass ends the wait for the rest of the body.
        super().on_connection_close()

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
        kind = 'server_error'
        if status < INTERNAL_ERROR:
            kind = 'invalid_request_error'
        self.set_status(status, http.client.responses.get(status, 'Error'))
        self.set_header('Limpetroute-Outcome', outcome)
        if status == http.HTTPStatus.CONFLICT:
            # Client libraries retry a 409 unless this header forbids it.
            self.set_header('x-should-retry', 'false')
        if retry_after_s is not None:
            self.set_header('Retry-After', str(math.ceil(retry_after_s)))
        self.finish(
            answer_format.error_body(
                message,
                kind,
                code,
                param=param,
                outcome=outcome,
                retry_after_s=retry_after_s,
            )
        )

    def fail_with_end(self, end: run_end.RunEnd) -> None:
        """Finish with the error for an unsuccessful end of a run."""
        self.fail(
            end_status.status_of(end),
            end_status.message_of(end),
            code=end_status.code_of(end),
            outcome=str(end.kind),
            retry_after_s=end.retry_after_s,
        )

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Send errors that tornado raises in the same format."""
        reason = http.client.responses.get(status_code, 'Error')
        code = reason.lower().replace(' ', '_')
        # An internal error may occur after the request was sent to a
        # runner, so its outcome is unknown.
        is_internal = status_code >= INTERNAL_ERROR
        self.fail(
            status_code,
            reason,
            code=code,
            outcome='unknown' if is_internal else 'not_run',
        )


class NotFoundHandler(BaseHandler):
    """Answers requests for paths that do not exist."""

    def prepare(self) -> None:
        """Answer 404."""
        self.fail(404, f'no such path: {self.request.path}', code='not_found')
