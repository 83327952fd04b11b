"""Encodes a service's reply as the text that its claim stores."""

import base64
import json

from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call

MAX_STORED_BYTES = 65536
NOT_SENT_STATUS = 0


def encode(reply: service_call.ServiceReply) -> str:
    """Return the text; a body over ``MAX_STORED_BYTES`` is omitted."""
    body = reply.body
    is_too_long = len(body) > MAX_STORED_BYTES
    return json.dumps(
        {
            'type': reply.content_type,
            'body': '' if is_too_long else base64.b64encode(body).decode(),
            'cut': is_too_long,
        }
    )


def decode(status: int, text: str) -> service_outcome.Answered:
    """Return the stored reply.

    Raises
    ------
    ValueError
        If the text is not valid JSON or its body is not valid base64.
    """
    stored = json.loads(text)
    if stored['cut']:
        note = {'note': 'the answer was too long to be kept'}
        reply = service_call.ServiceReply(
            status=status,
            content_type='application/json',
            body=json.dumps(note).encode(),
        )
        return service_outcome.Answered(reply=reply, stored=True)
    reply = service_call.ServiceReply(
        status=status,
        content_type=stored['type'],
        body=base64.b64decode(stored['body']),
    )
    return service_outcome.Answered(reply=reply, stored=True)
