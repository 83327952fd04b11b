"""``/v1/services/{service}/{path}``: calls to plain services."""

import asyncio
import hashlib
import json
import urllib.parse

from limpetroute.border import caller_body
from limpetroute.border import json_size
from limpetroute.entry.callers import body_handler
from limpetroute.entry.hosting import host as host_module
from limpetroute.entry.services import call_rules
from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call

DEFAULT_TIMEOUT_S = 10.0


class ServiceHandler(body_handler.BodyHandler):
    """Routes a call, at most once or with retries.

    The manifest's rules decide whether a call may be retried.
    """

    _pending_call: 'asyncio.Task[service_outcome.ServiceOutcome] | None' = None

    async def get(self, service: str, path: str) -> None:
        """Route a call."""
        await self._route(service, path)

    async def head(self, service: str, path: str) -> None:
        """Route a call."""
        await self._route(service, path)

    async def post(self, service: str, path: str) -> None:
        """Route a call."""
        await self._route(service, path)

    async def put(self, service: str, path: str) -> None:
        """Route a call."""
        await self._route(service, path)

    async def patch(self, service: str, path: str) -> None:
        """Route a call."""
        await self._route(service, path)

    async def delete(self, service: str, path: str) -> None:
        """Route a call."""
        await self._route(service, path)

    def on_connection_close(self) -> None:
        """Stop waiting for the outcome once the caller has disconnected."""
        super().on_connection_close()
        if self._pending_call is not None:
            self._pending_call.cancel()

    async def _route(self, service: str, path: str) -> None:
        if not self.body_is_whole() or not self.authenticate():
            return
        service_path = '/' + path
        if not call_rules.is_unambiguous(service_path):
            self.fail(
                400,
                f'path: {service_path[:80]!r} is ambiguous',
                code='invalid_path',
            )
            return
        rules = self.host.manifest_index.service(service)
        dispatcher = self.host.services
        if rules is None and not dispatcher.pool.knows(service):
            self.fail(
                404,
                f'the service {service[:80]!r} does not exist',
                code='service_not_found',
            )
            return
        if not self.has_valid_key():
            return
        timeout_s = rules.timeout_s if rules else DEFAULT_TIMEOUT_S
        call = self._call(service, path, self.key, timeout_s)
        self.set_header('Limpetroute-Request-Id', call.key)
        method = str(self.request.method)
        if call_rules.is_repeatable(rules, method, service_path):
            pending = dispatcher.repeatable(call)
        else:
            pending = dispatcher.once(
                self.team,
                self._digest(call),
                call,
                key_is_generated=self.key is None,
            )
        # If the caller disconnects, only this wait is cancelled: an
        # at-most-once call continues in its own task.
        self._pending_call = asyncio.ensure_future(pending)
        try:
            outcome = await self._pending_call
        except asyncio.CancelledError:
            return
        self._answer(outcome)

    def _call(
        self, service: str, path: str, key: str | None, timeout_s: float
    ) -> service_call.ServiceCall:
        headers = self.request.headers
        target = '/' + urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
        if self.request.query:
            target = f'{target}?{self.request.query}'
        return service_call.ServiceCall(
            service=service,
            method=str(self.request.method),
            path=target,
            body=self.body,
            content_type=headers.get('Content-Type', ''),
            accept=headers.get('Accept', '*/*'),
            key=key or host_module.new_request_id(),
            timeout_s=timeout_s,
        )

    @staticmethod
    def _digest(call: service_call.ServiceCall) -> str:
        try:
            json_size.check(call.body, caller_body.MAX_VALUES)
            body = caller_body.digest(json.loads(call.body))
        except (ValueError, RecursionError):
            body = hashlib.sha256(call.body).hexdigest()
        return caller_body.digest([call.service, call.method, call.path, body])

    def _answer(self, outcome: service_outcome.ServiceOutcome) -> None:
        if isinstance(outcome, service_outcome.Answered):
            self._send_reply(outcome)
            return
        if isinstance(outcome, service_outcome.KeyReused):
            self.fail(
                422,
                'this key stands for another call',
                code='key_reused',
                param='Idempotency-Key',
            )
            return
        if isinstance(outcome, service_outcome.NotRun):
            self.host.meters.refused(outcome.reason)
            text = 'the call was not run'
            if outcome.key_spent:
                text += '; send it under a new key'
            self.fail(
                503,
                f'{text}: {outcome.reason}',
                code='key_spent' if outcome.key_spent else outcome.reason,
                retry_after_s=outcome.retry_after_s,
            )
            return
        self._fail_unknown(outcome)

    def _fail_unknown(self, outcome: service_outcome.Unknown) -> None:
        status, text = 502, f'the call may have run: {outcome.reason}'
        if outcome.timed_out:
            status = 504
        if outcome.retry_after_s is not None:
            status = 503
            text = (
                'nothing was sent now, but whether this key ran before '
                f'cannot be told: {outcome.reason}; repeat it as it is'
            )
        if outcome.reason == 'claimed_before':
            status = 409
            text = (
                'the call was made before and its outcome is not known; '
                'it is not made again'
            )
        self.fail(
            status,
            text,
            code='unknown',
            outcome='unknown',
            retry_after_s=outcome.retry_after_s,
        )

    def _send_reply(self, outcome: service_outcome.Answered) -> None:
        reply = outcome.reply
        outcome_header = 'already_delivered' if outcome.stored else 'completed'
        self.set_status(reply.status)
        self.set_header('Limpetroute-Outcome', outcome_header)
        self.clear_header('Content-Type')
        if reply.content_type:
            self.set_header('Content-Type', reply.content_type)
        if reply.status in (204, 304):
            self.finish()
            return
        self.finish(reply.body)
