"""Spans created with OpenTelemetry."""

import contextlib
import contextvars
import types

from opentelemetry import context as otel_context
from opentelemetry import trace

from limpetroute.telemetry import hops
from limpetroute.telemetry import trace_context


class OtelHops:
    """Creates a span for each hop in the trace of the running task.

    Parameters
    ----------
    tracer : Tracer
        Creates the spans.
    """

    __slots__ = ('_tracer',)

    def __init__(self, *, tracer: trace.Tracer) -> None:
        self._tracer = tracer

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def hop(
        self, name: str, **attributes: hops.Attribute
    ) -> contextlib.AbstractContextManager[hops.OpenHop]:
        """Return a context manager that creates a span on entry."""
        return _Hop(self._tracer, name, attributes)


class _Hop(contextlib.AbstractContextManager[hops.OpenHop]):
    __slots__ = ('_attributes', '_name', '_span', '_token', '_tracer')

    def __init__(
        self,
        tracer: trace.Tracer,
        name: str,
        attributes: dict[str, hops.Attribute],
    ) -> None:
        self._tracer = tracer
        self._name = name
        self._attributes = attributes
        self._span: trace.Span = trace.INVALID_SPAN
        self._token: contextvars.Token[str] | None = None

    def __enter__(self) -> '_Hop':
        self._span = self._tracer.start_span(
            self._name,
            context=_parent(trace_context.current()),
            attributes=self._attributes,
        )
        traceparent = _traceparent(self._span.get_span_context())
        self._token = trace_context.enter(traceparent)
        return self

    def fail(self, reason: str) -> None:
        self._span.set_status(trace.Status(trace.StatusCode.ERROR, reason))

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if kind is not None:
            self.fail(kind.__name__)
        self._span.end()
        if self._token is not None:
            trace_context.leave(self._token)


def _parent(traceparent: str) -> otel_context.Context:
    # With None instead of an empty context, OpenTelemetry would use its
    # own current span as the parent.
    empty = otel_context.Context()
    if not traceparent:
        return empty
    _, trace_id, span_id, flags = traceparent.split('-')
    parent = trace.SpanContext(
        trace_id=int(trace_id, 16),
        span_id=int(span_id, 16),
        is_remote=True,
        trace_flags=trace.TraceFlags(int(flags, 16)),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(parent), empty)


def _traceparent(span: trace.SpanContext) -> str:
    flags = int(span.trace_flags)
    return f'00-{span.trace_id:032x}-{span.span_id:016x}-{flags:02x}'
