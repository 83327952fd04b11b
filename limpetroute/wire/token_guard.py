"""Refuses calls without the deployment's token."""

import hashlib
import hmac
import typing

from tornado import httputil
from tornado import web

SCHEME = 'Bearer '
HTTP_UNAUTHORIZED = 401


class TokenGuard:
    """Compares tokens in a time that tells nothing of them.

    Parameters
    ----------
    tokens : sequence of str
        Accepted tokens; none admits every call.
    """

    __slots__ = ('_digests',)

    def __init__(self, *, tokens: typing.Sequence[str]) -> None:
        self._digests = tuple(_digest(token) for token in tokens)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(tokens={len(self._digests)!r})'

    def admits(self, authorization: str | None) -> bool:
        """Whether the header's value carries an accepted token."""
        if not self._digests:
            return True
        given = authorization or ''
        if not given.startswith(SCHEME):
            return False
        shown = _digest(given[len(SCHEME) :].strip())
        found = False
        for digest in self._digests:
            found |= hmac.compare_digest(shown, digest)
        return found


class RefusedHandler(web.RequestHandler):
    """Answers any call without the token."""

    def prepare(self) -> None:
        """Refuse."""
        self.set_status(HTTP_UNAUTHORIZED)
        self.set_header('WWW-Authenticate', 'Bearer')
        error = {
            'message': 'the call carries no accepted token',
            'type': 'authentication_error',
            'code': 'unauthenticated',
            'param': None,
        }
        self.finish({'error': error})


class GuardedApplication(web.Application):
    """Routes of an internal port behind a `TokenGuard`.

    The guard stands before the routes: a handler added later cannot be
    left open by forgetting the check in it.
    """

    def __init__(
        self,
        routes: list[web.URLSpec],
        *,
        tokens: typing.Sequence[str],
        **settings: typing.Any,
    ) -> None:
        super().__init__(
            typing.cast(typing.Any, routes), log_function=_no_log, **settings
        )
        self._guard = TokenGuard(tokens=tokens)

    def find_handler(
        self, request: httputil.HTTPServerRequest, **kwargs: typing.Any
    ) -> typing.Any:
        """Find the handler of a call that carries the token."""
        if self._guard.admits(request.headers.get('Authorization')):
            return super().find_handler(request, **kwargs)
        return self.get_handler_delegate(request, RefusedHandler)


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def _no_log(handler: web.RequestHandler) -> None:
    """Write no line for a request: counters do that."""
