"""Spans around the hops of a request."""

import contextlib
import typing

Attribute = str | int | float | bool


class OpenHop(typing.Protocol):
    """A hop in progress."""

    def fail(self, reason: str) -> None:
        """Mark the hop as failed."""


class Hops(typing.Protocol):
    """Creates a span for each hop."""

    def hop(
        self, name: str, **attributes: Attribute
    ) -> contextlib.AbstractContextManager[OpenHop]:
        """Return a context manager that spans the duration of the hop."""


class NullHops:
    """Creates no spans; a caller's trace context is still propagated."""

    __slots__ = ('_null_context',)

    def __init__(self) -> None:
        null_context: contextlib.nullcontext[OpenHop]
        null_context = contextlib.nullcontext(_NullHop())
        self._null_context = null_context

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def hop(
        self, name: str, **attributes: Attribute
    ) -> contextlib.AbstractContextManager[OpenHop]:
        """Return a context manager that does nothing."""
        return self._null_context


class _NullHop:
    __slots__ = ()

    def fail(self, reason: str) -> None:
        """Do nothing."""


class RepeatedHop:
    """A hop that may occur several times in a request, such as queueing.

    Parameters
    ----------
    hops : Hops
        Creates the spans.
    name : str
        Name of each span.
    """

    __slots__ = ('_hops', '_name', '_open')

    def __init__(self, *, hops: Hops, name: str) -> None:
        self._hops = hops
        self._name = name
        self._open: contextlib.AbstractContextManager[OpenHop] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(name={self._name!r})'

    def begin(self) -> None:
        """Begin the hop, unless it is in progress."""
        if self._open is not None:
            return
        self._open = self._hops.hop(self._name)
        self._open.__enter__()

    def end(self) -> None:
        """End the hop, if it is in progress."""
        if self._open is None:
            return
        self._open.__exit__(None, None, None)
        self._open = None
