"""Response bodies in the format that OpenAI's clients expect."""

import json
import time
import typing

from limpetroute.peers import run_end

OUTCOME_FIELD = 'limpetroute_outcome'
_TEXT_PLACEHOLDER = '\x00'


class AnswerFormat:
    """Builds whole answers and streamed chunks for one request.

    The JSON around a chunk's text is the same for all events of a
    request, so it is encoded once; each event then costs only the
    encoding of its text.

    Parameters
    ----------
    request_id : str
        Id of the request.
    model : str
        Model that answers.
    chat : bool
        Whether the chat completions format is used.
    """

    __slots__ = (
        '_after_text',
        '_before_text',
        '_chat',
        '_created',
        '_model',
        '_request_id',
    )

    def __init__(self, *, request_id: str, model: str, chat: bool) -> None:
        self._request_id = request_id
        self._model = model
        self._chat = chat
        self._created = int(time.time())
        template = encode(
            self._choice(
                _TEXT_PLACEHOLDER, {'content': _TEXT_PLACEHOLDER}, None
            )
        )
        before, after = template.split(encode(_TEXT_PLACEHOLDER))
        self._before_text = before
        self._after_text = after

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request_id={self._request_id!r})'

    def whole(self, text: str, end: run_end.RunEnd) -> dict[str, typing.Any]:
        """Return the body of a whole answer."""
        choice: dict[str, typing.Any] = {
            'index': 0,
            'finish_reason': end.finish_reason,
            'logprobs': None,
        }
        if self._chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        body = self._head(streamed=False)
        body['choices'] = [choice]
        body['usage'] = usage(end)
        return body

    def chunk(self, text: str, *, first: bool) -> bytes:
        """Return the body of one streamed chunk."""
        if first and self._chat:
            delta = {'role': 'assistant', 'content': text}
            return encode(self._choice(text, delta, None))
        return self._before_text + json.dumps(text).encode() + self._after_text

    def last_chunk(self, end: run_end.RunEnd) -> bytes:
        """Return the chunk that carries the finish reason and outcome."""
        body = self._choice('', {}, end.finish_reason)
        body[OUTCOME_FIELD] = str(end.kind)
        return encode(body)

    def usage_chunk(self, end: run_end.RunEnd) -> bytes:
        """Return the chunk that carries the usage."""
        body = self._head(streamed=True)
        body['choices'] = []
        body['usage'] = usage(end)
        return encode(body)

    def _choice(
        self, text: str, delta: dict[str, str], finish: str | None
    ) -> dict[str, typing.Any]:
        choice: dict[str, typing.Any] = {
            'index': 0,
            'finish_reason': finish,
            'logprobs': None,
        }
        if self._chat:
            choice['delta'] = delta
        else:
            choice['text'] = text
        body = self._head(streamed=True)
        body['choices'] = [choice]
        return body

    def _head(self, *, streamed: bool) -> dict[str, typing.Any]:
        kind = 'text_completion'
        if self._chat:
            kind = 'chat.completion.chunk' if streamed else 'chat.completion'
        return {
            'id': self._request_id,
            'object': kind,
            'created': self._created,
            'model': self._model,
        }


def usage(end: run_end.RunEnd) -> dict[str, int]:
    """Return the usage part of an answer."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.completion_tokens,
        'total_tokens': end.prompt_tokens + end.completion_tokens,
    }


def encode(body: typing.Any) -> bytes:
    """Encode compact JSON."""
    return json.dumps(body, separators=(',', ':')).encode()


def error_body(
    message: str,
    kind: str,
    code: str,
    *,
    param: str | None = None,
    outcome: str | None = None,
    retry_after_s: float | None = None,
) -> dict[str, typing.Any]:
    """Return an error body in OpenAI's format."""
    error: dict[str, typing.Any] = {
        'message': message,
        'type': kind,
        'code': code,
        'param': param,
    }
    if outcome is not None:
        error[OUTCOME_FIELD] = outcome
    if retry_after_s is not None:
        error['retry_after_s'] = retry_after_s
    return {'error': error}
