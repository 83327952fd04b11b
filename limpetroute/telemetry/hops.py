"""Spans around the hops of a request."""

import contextlib
import typing

Attribute = str | int | float | bool


class OpenHop(typing.Protocol):
    """A hop that has begun and not ended."""

    def fail(self, reason: str) -> None:
        """Mark the hop as failed."""


class Hops(typing.Protocol):
    """Makes a span for each hop."""

    def hop(
        self, name: str, **attributes: Attribute
    ) -> contextlib.AbstractContextManager[OpenHop]:
        """Return a context manager that is open as long as the hop."""


class NullHops:
    """Makes no spans; a caller's trace context is still passed on."""

    __slots__ = ('_nothing',)

    def __init__(self) -> None:
        nothing: contextlib.nullcontext[OpenHop]
        nothing = contextlib.nullcontext(_NullHop())
        self._nothing = nothing

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def hop(
        self, name: str, **attributes: Attribute
    ) -> contextlib.AbstractContextManager[OpenHop]:
        """Return a context manager that does nothing."""
        return self._nothing


class _NullHop:
    __slots__ = ()

    def fail(self, reason: str) -> None:
        """Mark nothing."""


class RepeatedHop:
    """A hop that begins and ends again and again, as waiting does.

    Parameters
    ----------
    hops : Hops
        Makes the spans.
    name : str
        Name of each of them.
    """

    __slots__ = ('_hops', '_name', '_open')

    def __init__(self, *, hops: Hops, name: str) -> None:
        self._hops = hops
        self._name = name
        self._open: contextlib.AbstractContextManager[OpenHop] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(name={self._name!r})'

    def begin(self) -> None:
        """Begin, unless it has begun."""
        if self._open is not None:
            return
        self._open = self._hops.hop(self._name)
        self._open.__enter__()

    def end(self) -> None:
        """End, if it has begun."""
        if self._open is None:
            return
        self._open.__exit__(None, None, None)
        self._open = None
