"""Compares results with what a trace states."""

import math
import typing

TOLERANCE = 1e-9


def agrees(expected: typing.Any, got: typing.Any) -> bool:
    """Whether a result is as stated.

    An object states the fields it has and leaves the others open, but
    an empty one states that there are none; a list states all its items.
    """
    if isinstance(expected, dict):
        if not isinstance(got, dict):
            return False
        if not expected:
            return not got
        for name, item in expected.items():
            if name not in got or not agrees(item, got[name]):
                return False
        return True
    if isinstance(expected, list):
        if not isinstance(got, list) or len(got) != len(expected):
            return False
        pairs = zip(expected, got, strict=True)
        return all(agrees(item, other) for item, other in pairs)
    if isinstance(expected, bool) or isinstance(got, bool):
        return expected is got
    if isinstance(expected, float) and isinstance(got, int | float):
        return math.isclose(
            expected, got, rel_tol=TOLERANCE, abs_tol=TOLERANCE
        )
    return bool(expected == got)
