"""Body of the leader's response about a stream that is not placed."""

import dataclasses
import typing

from limpetroute.routing import placement
from limpetroute.routing import placement_preview

MILLIS = 1000


def encode(
    preview: placement_preview.PlacementPreview, term: int
) -> dict[str, typing.Any]:
    """Return a preview as JSON types."""
    body: dict[str, typing.Any] = {
        'decision': 'wait',
        'waiting': preview.waiting,
        'leader_term': term,
        'candidates': [dataclasses.asdict(one) for one in preview.candidates],
    }
    answer = preview.answer
    if answer is None:
        body['position'] = preview.position
        if preview.start_s is not None:
            body['estimated_wait_ms'] = round(preview.start_s * MILLIS)
    elif isinstance(answer, placement.Rejection):
        body.update(
            decision='refuse',
            reason=answer.reason,
            retry_after_s=round(answer.retry_after_s, 3),
        )
    else:
        body.update(
            decision='send',
            runner=answer.decode_id,
            prefill_runner=answer.prefill_id,
        )
        if answer.forecast is not None:
            body['first_event_ms'] = round(
                answer.forecast.first_event_s * MILLIS
            )
            body['in_time'] = answer.forecast.in_time
    return body
