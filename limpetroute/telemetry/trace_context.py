"""The trace that the running task works for, as W3C names it."""

import contextvars
import re

HEADER = 'traceparent'
_FORM = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_NO_TRACE = '0' * 32
_NO_SPAN = '0' * 16
_current: contextvars.ContextVar[str] = contextvars.ContextVar(
    'traceparent', default=''
)


def current() -> str:
    """Return the ``traceparent`` to pass on, or an empty string."""
    return _current.get()


def receive(header: str | None) -> None:
    """Take the header of a call for the running task.

    A value that is not of the standard's form is ignored, as the
    standard asks: a caller's broken tracer must not break its request.
    """
    _current.set(_valid(header or ''))


def enter(traceparent: str) -> contextvars.Token[str]:
    """Make a span's context the current one."""
    return _current.set(traceparent)


def leave(token: contextvars.Token[str]) -> None:
    """Go back to the context before `enter`."""
    _current.reset(token)


def _valid(header: str) -> str:
    if not _FORM.fullmatch(header):
        return ''
    _, trace_id, span_id, _ = header.split('-')
    if trace_id == _NO_TRACE or span_id == _NO_SPAN:
        return ''
    return header
