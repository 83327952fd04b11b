"""Formats of the requests and responses of callers and runners."""

import dataclasses
import typing

from tornado import httputil

from limpetroute.forwarding import caller_request
from limpetroute.routing import config_fragments
from limpetroute.routing import route_plan
from limpetroute.wire import chunked_body
from limpetroute.wire import small_call


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KvSource:
    """Where a decode runner fetches a prompt's KV cache.

    Parameters
    ----------
    address : str
        Address of the prefill runner.
    handle : str
        The prefill runner's handle of the KV cache.
    """

    address: str
    handle: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendOptions:
    """What this host adds to a caller's request to a runner.

    Parameters
    ----------
    remaining_s : float
        Time left for the answer.
    runner_id : str
        The intended runner; another runner at its address refuses.
    prefill_only : bool
        Whether the runner only prefills the prompt.
    kv_source : KvSource or None
        Where the prompt's KV cache is; None if there is none.
    resume_after : str or None
        Event after which the stream resumes; None keeps the caller's
        own header.
    priority : int or None
        Priority of the request at the runner, from 0 for the most urgent to
        9; None if the runner is given none.
    """

    remaining_s: float
    runner_id: str
    prefill_only: bool = False
    kv_source: KvSource | None = None
    resume_after: str | None = None
    priority: int | None = None


class Dialect(typing.Protocol):
    """Formats of the requests and responses of callers and runners."""

    def read_request(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes | chunked_body.ChunkedBody,
        received_s: float,
    ) -> caller_request.CallerRequest:
        """Decode a caller's request."""

    def runner_headers(
        self, request: caller_request.CallerRequest, note: SendOptions
    ) -> httputil.HTTPHeaders:
        """Return the headers for a runner."""

    def peer_headers(
        self,
        request: caller_request.CallerRequest,
        remaining_s: float,
        last_event_id: str = '',
    ) -> httputil.HTTPHeaders:
        """Return a caller's headers for another entry host.

        Parameters
        ----------
        request : CallerRequest
            The caller's request.
        remaining_s : float
            Time left for the answer.
        last_event_id : str
            Event after which the stream resumes; empty keeps the caller's
            own header.
        """

    def is_refusal(self, status: int, headers: httputil.HTTPHeaders) -> bool:
        """Return whether a runner proves that it did not run a request."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another runner than the intended one responded."""

    def rate_limit_text(self, headers: httputil.HTTPHeaders) -> str | None:
        """Return the rate limit that a runner announces, as received.

        The limit is in requests per second from all hosts together and
        holds until a response announces another one or none. None if the
        response announces no limit.
        """

    def is_leaving(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether a runner announces that it is leaving."""

    def backoff_text(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> str | None:
        """Return the backoff that a runner asks for, as received.

        For this many seconds, the runner accepts no requests from this
        host. None if the response asks for no backoff.
        """

    def belongs_to(
        self,
        request: caller_request.CallerRequest,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        """Return whether a response belongs to this request.

        A response without an id is taken to, as on a new connection.
        """

    def is_named(
        self,
        request: caller_request.CallerRequest,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        """Return whether a response proves that it is this request's."""

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> httputil.HTTPHeaders:
        """Return the headers of a runner's response for the caller."""

    def local_reply_headers(
        self, request: caller_request.CallerRequest
    ) -> httputil.HTTPHeaders:
        """Return the headers of a response that this host generates."""

    def read_handle(self, body: bytes) -> str:
        """Return the KV cache handle from a prefill response.

        Raises
        ------
        ValueError
            If there is no handle in the body.
        """

    def free_handle_call(
        self, handle: str, runner_id: str
    ) -> small_call.SmallCall:
        """Return the call that frees a prefill runner's KV cache."""

    def prepare_plan(
        self, parts: typing.Iterable[config_fragments.ConfigFragment]
    ) -> None:
        """Decode fragments ahead, to make a later `read_plan` short."""

    def read_plan(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> route_plan.RoutePlan:
        """Decode a routing configuration."""
