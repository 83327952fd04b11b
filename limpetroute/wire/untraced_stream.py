"""Streams whose errors do not keep data in memory."""

import types
import typing

from tornado import iostream

_ExcInfo: typing.TypeAlias = (
    bool
    | BaseException
    | tuple[
        type[BaseException] | None,
        BaseException | None,
        types.TracebackType | None,
    ]
    | None
)


class UntracedStream(iostream.BaseIOStream):
    """A stream whose error has no traceback.

    A traceback refers to the frames of a failed write and of its callers, and
    so to the data that they were sending. As the stream refers to the error
    and the frames refer to the stream, these data would stay in memory until
    the next garbage collection, which may come late.
    """

    def close(self, exc_info: _ExcInfo = False) -> None:
        """See `BaseIOStream.close`."""
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None
