"""Bounds the memory that a JSON document takes once it is parsed."""

import re

# Shorter documents are not checked: each byte is at most one value.
MIN_CHECKED_BYTES = 1 << 16
STRINGS = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)


class TooManyValuesError(ValueError):
    """A JSON document has more values than allowed."""


def check(data: bytes, max_values: int) -> None:
    """Check the number of values in a JSON document before it is parsed.

    A value takes some hundred bytes, however few it takes in the document.

    Raises
    ------
    TooManyValuesError
        If the document has more values than allowed.
    """
    if len(data) < MIN_CHECKED_BYTES:
        return
    # Text, the largest part of most documents, holds no values.
    rest = STRINGS.sub(b'', data)
    values = rest.count(b',') + rest.count(b'[') + rest.count(b'{')
    if values > max_values:
        raise TooManyValuesError(f'the document has over {max_values} values')
