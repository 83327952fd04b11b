"""``POST`` and ``GET /v1/runners``."""

from limpetroute.border import announcement
from limpetroute.border import errors
from limpetroute.entry.callers import base_handler


class RunnersHandler(base_handler.BaseHandler):
    """Receives the runners' announcements and lists known runners."""

    def post(self) -> None:
        """Receive one announcement."""
        try:
            body = errors.parse(
                announcement.AnnouncementBody, self.request.body
            )
        except errors.InvalidInputError as exc:
            self.fail(400, str(exc), code='invalid_body')
            return
        self.host.receive_announcement(body)
        self.set_status(204)

    def get(self) -> None:
        """Answer with the newest announcement of each known runner."""
        found = [body.model_dump() for body in self.host.runners.all()]
        self.finish({'runners': found})
