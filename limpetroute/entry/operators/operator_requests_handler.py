"""``GET /v1/operator/requests`` on the internal port."""

import typing

from limpetroute.entry.callers import base_handler
from limpetroute.entry.records import live_record

MAX_SHOWN = 1000


class OperatorRequestsHandler(base_handler.BaseHandler):
    """Lists requests, without their texts and keys."""

    def get(self) -> None:
        """Answer with the requests in progress, or with all records."""
        include_ended = self.get_query_argument('all', '') == '1'
        found: list[dict[str, typing.Any]] = []
        hidden = 0
        for live in self.host.records:
            if live.record.end is not None and not include_ended:
                continue
            if len(found) >= MAX_SHOWN:
                hidden += 1
                continue
            found.append(_summary(live))
        self.finish({'requests': found, 'not_shown': hidden})


def _summary(live: live_record.LiveRecord) -> dict[str, typing.Any]:
    record = live.record
    return {
        'request_id': record.request_id,
        'team': record.team,
        'stage': str(live.stage),
        'runner_id': live.runner_id,
        'events': len(record.events),
        'delivered_index': record.delivered_index,
        'attached': live.attached,
        'outcome': str(record.end.kind) if record.end else None,
    }
