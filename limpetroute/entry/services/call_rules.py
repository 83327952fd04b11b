"""Whether a call of a plain service may be repeated."""

import typing

from limpetroute.border import manifest

IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'PUT', 'DELETE'})
ONE = '*'
REST = '**'


def is_repeatable(
    service: manifest.ServiceBody | None, method: str, path: str
) -> bool:
    """Decide by the manifest's rules, and without one by the method.

    Where several rules fit, a single one that says the call must not be
    repeated wins: to be wrong that way costs a retry, to be wrong the
    other way runs a release confirmation twice.

    Parameters
    ----------
    service : ServiceBody or None
        The service's rules, if the manifest names it.
    method : str
        HTTP method.
    path : str
        Decoded path at the service, without its query.
    """
    rules = service.calls if service is not None else []
    found = [
        rule.repeatable
        for rule in rules
        if rule.method == method and fits(rule.path, path)
    ]
    if found:
        return all(found)
    return method in IDEMPOTENT_METHODS


def fits(pattern: str, path: str) -> bool:
    """Whether a path fits a pattern.

    ``*`` stands for one segment, ``**`` at the end for all that follow.
    """
    wanted = _segments(pattern)
    given = _segments(path)
    if wanted and wanted[-1] == REST:
        wanted = wanted[:-1]
        given = given[: len(wanted)]
    if len(wanted) != len(given):
        return False
    return all(
        want in (ONE, got) for want, got in zip(wanted, given, strict=True)
    )


def is_plain(path: str) -> bool:
    """Whether a decoded path means the same to every reader.

    A service may take ``/a//release`` or ``/a/../release`` for
    ``/release``, which another rule is meant for.
    """
    return not any(
        part in ('', '.', '..') or '\x00' in part for part in _segments(path)
    )


def _segments(path: str) -> typing.Sequence[str]:
    return path.removeprefix('/').split('/')
