"""W3C trace context of the running task."""

import contextvars
import re

HEADER = 'traceparent'
_TRACEPARENT = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_NO_TRACE = '0' * 32
_NO_SPAN = '0' * 16
_current: contextvars.ContextVar[str] = contextvars.ContextVar(
    'traceparent', default=''
)


def current() -> str:
    """Return the ``traceparent`` to propagate, or an empty string."""
    return _current.get()


def receive(header: str | None) -> None:
    """Set the running task's trace from a request's header.

    A malformed value is ignored, as the standard requires, so that a
    fault in a caller's tracing does not fail the request.
    """
    _current.set(_valid(header or ''))


def enter(traceparent: str) -> contextvars.Token[str]:
    """Set the current trace context to that of a span."""
    return _current.set(traceparent)


def leave(token: contextvars.Token[str]) -> None:
    """Restore the trace context from before `enter`."""
    _current.reset(token)


def _valid(header: str) -> str:
    if not _TRACEPARENT.fullmatch(header):
        return ''
    _, trace_id, span_id, _ = header.split('-')
    if trace_id == _NO_TRACE or span_id == _NO_SPAN:
        return ''
    return header
