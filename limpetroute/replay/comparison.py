"""Compares results with the outcomes that a trace expects."""

import math
import typing

TOLERANCE = 1e-9


def agrees(expected: typing.Any, got: typing.Any) -> bool:
    """Return whether a result matches the expected value.

    An expected object is compared only in the fields that it has, except
    that an empty one matches only an empty object. An expected list must
    match in length and in every item. Numbers are compared with a
    tolerance where the expected one is a float.
    """
    if isinstance(expected, dict):
        if not isinstance(got, dict):
            return False
        if not expected:
            return not got
        for name, value in expected.items():
            if name not in got or not agrees(value, got[name]):
                return False
        return True
    if isinstance(expected, list):
        if not isinstance(got, list) or len(got) != len(expected):
            return False
        pairs = zip(expected, got, strict=True)
        return all(agrees(left, right) for left, right in pairs)
    if isinstance(expected, bool) or isinstance(got, bool):
        return expected is got
    if isinstance(expected, float) and isinstance(got, int | float):
        return math.isclose(
            expected, got, rel_tol=TOLERANCE, abs_tol=TOLERANCE
        )
    return bool(expected == got)
