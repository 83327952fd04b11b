"""The text under which a claim keeps a service's answer."""

import base64
import json

from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call

MAX_STORED_BYTES = 65536
NOT_SENT_STATUS = 0


def encode(reply: service_call.ServiceReply) -> str:
    """Return the text; a body past the limit is left out."""
    body = reply.body
    cut = len(body) > MAX_STORED_BYTES
    return json.dumps(
        {
            'type': reply.content_type,
            'body': '' if cut else base64.b64encode(body).decode(),
            'cut': cut,
        }
    )


def decode(status: int, text: str) -> service_outcome.Answered:
    """Return the stored answer.

    Raises
    ------
    ValueError
        If the text is not of this form.
    """
    kept = json.loads(text)
    if kept['cut']:
        note = {'note': 'the answer was too long to be kept'}
        reply = service_call.ServiceReply(
            status=status,
            content_type='application/json',
            body=json.dumps(note).encode(),
        )
        return service_outcome.Answered(reply=reply, stored=True)
    reply = service_call.ServiceReply(
        status=status,
        content_type=kept['type'],
        body=base64.b64decode(kept['body']),
    )
    return service_outcome.Answered(reply=reply, stored=True)
