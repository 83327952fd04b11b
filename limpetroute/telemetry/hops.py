"""Spans around the hops of a request."""

import contextlib
import typing

Attribute = str | int | float | bool


class Hops(typing.Protocol):
    """Makes a span for each hop."""

    def hop(
        self, name: str, **attributes: Attribute
    ) -> contextlib.AbstractContextManager[None]:
        """Return a context manager that is open as long as the hop."""


class NullHops:
    """Makes no spans; a caller's trace context is still passed on."""

    __slots__ = ('_nothing',)

    def __init__(self) -> None:
        self._nothing = contextlib.nullcontext()

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def hop(
        self, name: str, **attributes: Attribute
    ) -> contextlib.AbstractContextManager[None]:
        """Return a context manager that does nothing."""
        return self._nothing
