"""``/v1/places``: handlers for placement requests of entry hosts."""

import asyncio
import dataclasses

import pydantic
import tornado.web

from limpetroute.border import errors
from limpetroute.border import forecast_header
from limpetroute.border import hints_header
from limpetroute.border import limit_bodies
from limpetroute.border import placement_bodies
from limpetroute.border import preview_body
from limpetroute.border import quota_bodies
from limpetroute.border import runners_header
from limpetroute.border import stream_bodies
from limpetroute.border import stream_version_header
from limpetroute.dispatch import dispatcher as dispatcher_module
from limpetroute.routing import placement
from limpetroute.telemetry import boot_clock

HTTP_BAD_REQUEST = 400
HTTP_MISDIRECTED = 421
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503


class _Handler(tornado.web.RequestHandler):
    def initialize(self, dispatcher: dispatcher_module.Dispatcher) -> None:
        self.dispatcher = dispatcher

    def parse(
        self, model: type[pydantic.BaseModel]
    ) -> pydantic.BaseModel | None:
        try:
            return errors.parse(model, self.request.body)
        except errors.InvalidInputError as exc:
            self.set_status(HTTP_BAD_REQUEST)
            self.finish({'errors': list(exc.lines)})
            return None


class PlacementHandler(_Handler):
    """``POST /v1/places``: replies once a stream is placed or rejected."""

    _task: 'asyncio.Task[dispatcher_module.Answer | None] | None' = None

    async def post(self) -> None:
        """Reply with a placement, a rejection, or 421 if not the leader."""
        asked = self.parse(placement_bodies.PlacementRequestBody)
        if asked is None:
            return
        assert isinstance(asked, placement_bodies.PlacementRequestBody)
        try:
            hints = hints_header.decode(
                self.request.headers.get(hints_header.NAME)
            )
        except ValueError as exc:
            self.set_status(HTTP_BAD_REQUEST)
            self.finish({'errors': [str(exc)]})
            return
        request = hints.apply(asked.to_request(), boot_clock.now_s())
        self._task = asyncio.create_task(
            self.dispatcher.request_placement(request)
        )
        try:
            answer = await self._task
        except asyncio.CancelledError:
            return
        if answer is None:
            self.set_status(HTTP_MISDIRECTED)
            self.finish({'reason': 'this host does not lead'})
            return
        if isinstance(answer, placement.Rejection):
            self.set_status(HTTP_UNAVAILABLE)
            if answer.is_unknown_stream:
                self.set_header(stream_version_header.UNKNOWN, '1')
            self.finish(placement.to_body(answer))
            return
        body = dataclasses.asdict(answer)
        body.pop('forecast', None)
        body.pop('runners', None)
        body.pop('version', None)
        if answer.version is not None:
            self.set_header(
                stream_version_header.NAME,
                stream_version_header.encode(answer.version),
            )
        self.set_header(
            runners_header.NAME, runners_header.encode(answer.runners)
        )
        if answer.forecast:
            self.set_header(
                forecast_header.NAME, forecast_header.encode(answer.forecast)
            )
        self.finish(body)

    def on_connection_close(self) -> None:
        """Cancel the request of an entry host that disconnected."""
        if self._task is not None:
            self._task.cancel()


class PreviewHandler(_Handler):
    """``POST /v1/places/preview``: replies with what would be decided."""

    async def post(self) -> None:
        """Reply with the decision about a stream, without making it."""
        asked = self.parse(placement_bodies.PlacementRequestBody)
        if asked is None:
            return
        assert isinstance(asked, placement_bodies.PlacementRequestBody)
        try:
            hints = hints_header.decode(
                self.request.headers.get(hints_header.NAME)
            )
        except ValueError as exc:
            self.set_status(HTTP_BAD_REQUEST)
            self.finish({'errors': [str(exc)]})
            return
        request = hints.apply(asked.to_request(), boot_clock.now_s())
        preview = await self.dispatcher.preview_placement(request)
        if preview is None:
            self.set_status(HTTP_MISDIRECTED)
            self.finish({'reason': 'this host does not lead'})
            return
        if isinstance(preview, dispatcher_module.PreviewRefused):
            self.set_status(HTTP_TOO_MANY_REQUESTS)
            self.finish({'reason': preview.reason})
            return
        self.finish(preview_body.encode(preview, self.dispatcher.term))


class ReleaseHandler(_Handler):
    """``POST /v1/places/end``."""

    def post(self) -> None:
        """Release a reservation."""
        body = self.parse(placement_bodies.ReleaseBody)
        if body is None:
            return
        assert isinstance(body, placement_bodies.ReleaseBody)
        self.dispatcher.release(body.service, body.to_release())
        self.set_status(204)


class PrefillDoneHandler(_Handler):
    """``POST /v1/places/read``."""

    def post(self) -> None:
        """Note that a prefill runner has finished a prompt."""
        body = self.parse(placement_bodies.PrefillDoneBody)
        if body is None:
            return
        assert isinstance(body, placement_bodies.PrefillDoneBody)
        self.dispatcher.note_prefill_done(
            body.service, body.request_id, body.attempt
        )
        self.set_status(204)


class FirstEventHandler(_Handler):
    """``POST /v1/places/first-event``."""

    def post(self) -> None:
        """Note the first event of a stream prefilled by its decode runner."""
        body = self.parse(placement_bodies.FirstEventBody)
        if body is None:
            return
        assert isinstance(body, placement_bodies.FirstEventBody)
        self.dispatcher.note_first_event(
            body.service, body.request_id, body.attempt, body.took_s
        )
        self.set_status(204)


class RestoreHandler(_Handler):
    """``POST /v1/places/held``."""

    def post(self) -> None:
        """Restore the reservations that an entry host holds."""
        body = self.parse(placement_bodies.ReservationsBody)
        if body is None:
            return
        assert isinstance(body, placement_bodies.ReservationsBody)
        for held in body.held:
            self.dispatcher.restore(
                held.to_placement(), held.asked.to_request()
            )
        self.set_status(204)


class StreamsHandler(_Handler):
    """``POST /v1/streams``."""

    def post(self) -> None:
        """Note the software versions at which a host's streams began."""
        body = self.parse(stream_bodies.StreamReportBody)
        if body is None:
            return
        assert isinstance(body, stream_bodies.StreamReportBody)
        if not self.dispatcher.leads:
            self.set_status(HTTP_MISDIRECTED)
            self.finish({'reason': 'this host does not lead'})
            return
        self.dispatcher.note_streams(body.to_origins())
        self.set_status(204)


class QuotaHandler(_Handler):
    """``POST /v1/quotas``."""

    def post(self) -> None:
        """Charge what a host let run, and reply with what is left."""
        body = self.parse(quota_bodies.QuotaReportBody)
        if body is None:
            return
        assert isinstance(body, quota_bodies.QuotaReportBody)
        if not self.dispatcher.leads:
            self.set_status(HTTP_MISDIRECTED)
            self.finish({'reason': 'this host does not lead'})
            return
        levels = self.dispatcher.note_spent(
            body.host_id, body.spent, body.history
        )
        self.finish(
            {
                'levels': levels,
                'low': self.dispatcher.low_teams(),
                'term': self.dispatcher.term,
            }
        )


class LimitHandler(_Handler):
    """``POST /v1/limits``."""

    def post(self) -> None:
        """Record a runner's rate limit and grant or delay one request."""
        body = self.parse(limit_bodies.LimitBody)
        if body is None:
            return
        assert isinstance(body, limit_bodies.LimitBody)
        if not self.dispatcher.leads:
            self.set_status(HTTP_MISDIRECTED)
            self.finish({'reason': 'this host does not lead'})
            return
        wait_s = self.dispatcher.acquire_token(
            body.to_report(boot_clock.now_s()), has_request=body.takes
        )
        self.finish({'allowed': wait_s is None, 'wait_s': wait_s or 0.0})
