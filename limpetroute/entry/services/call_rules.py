"""Rules that decide whether a call to a plain service may be retried."""

import typing

from limpetroute.border import manifest

IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'PUT', 'DELETE'})
ANY_SEGMENT = '*'
ANY_REMAINDER = '**'


def is_repeatable(
    service: manifest.ServiceBody | None, method: str, path: str
) -> bool:
    """Whether a call to a service may be sent more than once.

    The manifest's rules decide; if no rule matches, the HTTP method
    does. If several rules match, the call is repeatable only if all of
    them allow it: wrongly forbidding a retry costs one retry, but
    wrongly allowing it could run a release confirmation twice.

    Parameters
    ----------
    service : ServiceBody or None
        The service's entry in the manifest; None if it has none.
    method : str
        HTTP method.
    path : str
        Decoded path at the service, without the query string.
    """
    rules = service.calls if service is not None else []
    verdicts = [
        rule.repeatable
        for rule in rules
        if rule.method == method and path_matches(rule.path, path)
    ]
    if verdicts:
        return all(verdicts)
    return method in IDEMPOTENT_METHODS


def path_matches(pattern: str, path: str) -> bool:
    """Whether a path matches a pattern.

    ``*`` matches one segment; ``**`` at the end of the pattern matches
    any number of remaining segments.
    """
    pattern_segments = _segments(pattern)
    path_segments = _segments(path)
    if pattern_segments and pattern_segments[-1] == ANY_REMAINDER:
        pattern_segments = pattern_segments[:-1]
        path_segments = path_segments[: len(pattern_segments)]
    if len(pattern_segments) != len(path_segments):
        return False
    return all(
        expected in (ANY_SEGMENT, actual)
        for expected, actual in zip(
            pattern_segments, path_segments, strict=True
        )
    )


def is_unambiguous(path: str) -> bool:
    """Whether a path has no NUL and no segments that servers normalize.

    A service may treat ``/a//release`` or ``/a/../release`` as
    ``/release``, so the rule that matched the path as sent would not be
    the rule for the call that runs.
    """
    return not any(
        part in ('', '.', '..') or '\x00' in part for part in _segments(path)
    )


def _segments(path: str) -> typing.Sequence[str]:
    return path.removeprefix('/').split('/')
