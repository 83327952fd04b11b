"""``/v1/plain-slots``: handlers for slots at plain runners."""

import asyncio

import pydantic
from tornado import http1connection
import tornado.web

from limpetroute.border import errors
from limpetroute.border import plain_slot_bodies
from limpetroute.dispatch import plain_scheduler
from limpetroute.routing import plain_slot_request

HTTP_BAD_REQUEST = 400
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
# Tells the host that its request waits here, so that it can tell a wait from
# a leader that is too slow.
PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'


class _Handler(tornado.web.RequestHandler):
    def initialize(self, scheduler: plain_scheduler.PlainScheduler) -> None:
        self.scheduler = scheduler

    def set_default_headers(self) -> None:
        """Leave out headers that hosts do not use, as each request has some.

        A host may exchange 1 KB a second with the leader.
        """
        self.clear_header('Server')
        self.clear_header('Date')

    def parse(
        self, model: type[pydantic.BaseModel]
    ) -> pydantic.BaseModel | None:
        try:
            return errors.parse(model, self.request.body)
        except errors.InvalidInputError as exc:
            self.set_status(HTTP_BAD_REQUEST)
            self.finish({'errors': list(exc.lines)})
            return None


class PlainSlotHandler(_Handler):
    """``POST /v1/plain-slots``: leases a slot to one request."""

    _waiting: plain_slot_request.PlainSlotRequest | None = None

    async def post(self) -> None:
        """Reply with a runner, a refusal, or 421 if it cannot be decided."""
        body = self.parse(plain_slot_bodies.PlainSlotBody)
        if body is None:
            return
        assert isinstance(body, plain_slot_bodies.PlainSlotBody)
        request = body.to_request()
        answer = self.scheduler.request(request)
        if isinstance(answer, asyncio.Future):
            self._waiting = request
            self._write_interim()
            answer = await answer
            self._waiting = None
        if answer is None:
            self.set_status(HTTP_MISDIRECTED)
            self.finish({'reason': 'this host does not lead or has no runner'})
            return
        if isinstance(answer, plain_slot_request.PlainSlotRefusal):
            self.set_status(HTTP_UNAVAILABLE)
            refused = plain_slot_bodies.PlainSlotRefusalBody(
                retry_after_s=answer.retry_after_s, reason=answer.reason
            )
            self.finish(refused.model_dump())
            return
        self.finish({'runner_id': answer.runner_id})

    def compute_etag(self) -> None:
        """Return no tag, as no response is used twice."""

    def _write_interim(self) -> None:
        connection = self.request.connection
        assert isinstance(connection, http1connection.HTTP1Connection)
        if not connection.stream.closed():
            connection.stream.write(PROCESSING)

    def on_connection_close(self) -> None:
        """Drop the request of a host that disconnected while it waited."""
        if self._waiting is not None:
            self.scheduler.stop_waiting(
                self._waiting.service, self._waiting.request_id
            )


class PlainSlotReturnHandler(_Handler):
    """``POST /v1/plain-slots/end``: ends a slot."""

    def post(self) -> None:
        """Record what the host saw, and free the slot."""
        body = self.parse(plain_slot_bodies.PlainSlotReturnBody)
        if body is None:
            return
        assert isinstance(body, plain_slot_bodies.PlainSlotReturnBody)
        self.scheduler.end(body.to_return())
        self.set_status(204)
