"""How callers and runners are spoken to."""

import dataclasses
import typing

from tornado import httputil

from limpetroute.forwarding import caller_request
from limpetroute.routing import config_fragments
from limpetroute.routing import route_plan
from limpetroute.wire import small_call


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KvSource:
    """Where a decode runner fetches a prompt's KV cache.

    Parameters
    ----------
    address : str
        The runner that read the prompt.
    handle : str
        Its name of the result.
    """

    address: str
    handle: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendOptions:
    """What a runner is told beside the caller's own request.

    Parameters
    ----------
    remaining_s : float
        Time left for the answer.
    runner_id : str
        The runner that is meant; another one at its address refuses.
    prefill_only : bool
        Whether only the prompt is read.
    kv_source : KvSource or None
        Where the prompt's KV cache is.
    resume_after : str or None
        Event to go on after; None for what the caller asked.
    """

    remaining_s: float
    runner_id: str
    prefill_only: bool = False
    kv_source: KvSource | None = None
    resume_after: str | None = None


class Dialect(typing.Protocol):
    """How callers and runners are spoken to: names and formats."""

    def read_request(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        received_s: float,
    ) -> caller_request.CallerRequest:
        """Decode a caller's request."""

    def runner_headers(
        self, request: caller_request.CallerRequest, note: SendOptions
    ) -> httputil.HTTPHeaders:
        """Return the headers for a runner."""

    def is_refusal(self, status: int, headers: httputil.HTTPHeaders) -> bool:
        """Return whether a runner proves that it did not run a request."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another runner than the one meant answers."""

    def rate_limit_text(self, headers: httputil.HTTPHeaders) -> str | None:
        """Return the limit that a runner names, as it wrote it.

        Requests a second that it takes from all hosts together, for as
        long as its answers say so; None where it names none.
        """

    def belongs_to(
        self,
        request: caller_request.CallerRequest,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        """Return whether a response is the one to this request."""

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> httputil.HTTPHeaders:
        """Return what of a runner's headers the caller gets."""

    def local_reply_headers(
        self, request: caller_request.CallerRequest
    ) -> httputil.HTTPHeaders:
        """Return the headers of an answer of this host's own."""

    def read_handle(self, body: bytes) -> str:
        """Return the handle of a prefill's result; `ValueError` if none."""

    def free_handle_call(
        self, handle: str, runner_id: str
    ) -> small_call.SmallCall:
        """Return the call that frees a prefill's result."""

    def prepare_plan(
        self, parts: typing.Iterable[config_fragments.ConfigFragment]
    ) -> None:
        """Decode parts ahead, so that `read_plan` of them is short."""

    def read_plan(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> route_plan.RoutePlan:
        """Decode a routing configuration."""
