"""``POST /v1/runners``: announcements, and the list of them."""

from limpetroute.border import announcement
from limpetroute.border import errors
from limpetroute.entry.callers import base_handler


class RunnersHandler(base_handler.BaseHandler):
    """Takes announcements and shows the runners known."""

    def post(self) -> None:
        """Take one announcement."""
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
        """Show the runners known."""
        found = [body.model_dump() for body in self.host.runners.all()]
        self.finish({'runners': found})
