"""``GET`` and ``DELETE /v1/requests/{id}``."""

from limpetroute.entry.callers import base_handler
from limpetroute.entry.records import live_record


class RequestHandler(base_handler.BaseHandler):
    """Returns the state of a request, or cancels it."""

    async def get(self, request_id: str) -> None:
        """Answer with the state of the request."""
        live = await self._find(request_id)
        if live is not None:
            self._answer_state(live)

    async def delete(self, request_id: str) -> None:
        """Cancel a request; this does not change one that has ended."""
        live = await self._find(request_id)
        if live is None:
            return
        live.cancel('cancelled_by_caller')
        if live.task is not None:
            await live.wait_ended()
        self._answer_state(live)

    async def _find(self, request_id: str) -> live_record.LiveRecord | None:
        if not self.authenticate():
            return None
        if await self.relay(request_id=request_id):
            return None
        live = self.host.records.by_id(self.team, request_id)
        if live is None:
            self.fail(404, 'no such request', code='request_not_found')
        return live

    def _answer_state(self, live: live_record.LiveRecord) -> None:
        record = live.record
        end = record.end
        outcome = base_handler.PENDING if end is None else str(end.kind)
        self.set_header('Limpetroute-Request-Id', record.request_id)
        self.set_header('Limpetroute-Outcome', outcome)
        self.finish(
            {
                'id': record.request_id,
                'state': str(live.stage) if end is None else 'ended',
                'outcome': outcome,
                'reason': None if end is None else end.finish_reason,
                'events': len(record.events),
                'delivered_index': record.delivered_index,
                'delivered': record.end_delivered,
                'attached': live.attached,
                'retry_after_s': None if end is None else end.retry_after_s,
            }
        )
