"""Rejects calls that lack an accepted token."""

import hashlib
import hmac
import typing

from tornado import httputil
from tornado import web

SCHEME = 'Bearer '
HTTP_UNAUTHORIZED = 401


class TokenGuard:
    """Checks bearer tokens in constant time.

    Parameters
    ----------
    tokens : sequence of str
        Accepted tokens; if empty, every call is admitted.
    """

    __slots__ = ('_digests',)

    def __init__(self, *, tokens: typing.Sequence[str]) -> None:
        self._digests = tuple(_digest(token) for token in tokens)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(tokens={len(self._digests)!r})'

    def admits(self, authorization: str | None) -> bool:
        """Whether an ``Authorization`` value has an accepted token."""
        if not self._digests:
            return True
        header = authorization or ''
        if not header.startswith(SCHEME):
            return False
        shown = _digest(header[len(SCHEME) :].strip())
        found = False
        for digest in self._digests:
            found |= hmac.compare_digest(shown, digest)
        return found


class RefusedHandler(web.RequestHandler):
    """Answers calls without an accepted token with status 401."""

    def prepare(self) -> None:
        """Send the error before any method of the handler runs."""
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

    The guard runs before a handler is chosen, so a new handler is
    protected without a check of its own.
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
        """Return the handler of the route, or `RefusedHandler`."""
        if self._guard.admits(request.headers.get('Authorization')):
            return super().find_handler(request, **kwargs)
        return self.get_handler_delegate(request, RefusedHandler)


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def _no_log(handler: web.RequestHandler) -> None:
    """Do not log requests; counters cover them."""
