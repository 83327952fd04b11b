"""``GET /v1/requests/{id}/events``: resumes an answer's stream."""

from limpetroute.entry.callers import answer_handler
from limpetroute.entry.callers import event_id


class EventsHandler(answer_handler.AnswerHandler):
    """Streams a request's events, from the first or after a given event."""

    async def get(self, request_id: str) -> None:
        """Attach to a request and stream its events."""
        if not self.body_is_whole() or not self.authenticate():
            return
        if await self.relay(request_id=request_id):
            return
        live = self.host.records.by_id(self.team, request_id)
        if live is None:
            self.fail(404, 'no such request', code='request_not_found')
            return
        after_index = -1
        given = self.request.headers.get('Last-Event-ID')
        if given:
            parsed = event_id.parse(given)
            events = len(live.record.events)
            is_other_run = parsed is None or parsed[0] != live.record.run_id
            if parsed is None or is_other_run or parsed[1] >= events:
                self.fail(
                    400,
                    f'Last-Event-ID: {given[:80]!r} names no event of '
                    'this request',
                    code='invalid_event_id',
                    param='Last-Event-ID',
                )
                return
            after_index = parsed[1]
        await self.answer(live, stream=True, after_index=after_index)
