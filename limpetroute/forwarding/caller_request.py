"""A caller's request as the forwarder works with it."""

import dataclasses
import functools

from tornado import httputil

from limpetroute.routing import fingerprint


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Generation:
    """What a request asks a model for.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    max_output_tokens : int
        Most tokens of the answer.
    expected_output_tokens : int
        The caller's estimate, right at the median and often far off;
        the most where it gives none.
    prompt_id : str
        Names the prompt; the same when its caller asks again. Empty if
        unknown.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prompt_id: str = ''

    @property
    def peak_tokens(self) -> int:
        """Most tokens of KV memory that it takes."""
        return self.prompt_tokens + self.max_output_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request as the forwarder works with it.

    Parameters
    ----------
    request_id : str
        Names this attempt of the caller; empty if it gave none.
    method, target, host : str
        As on the request line; ``target`` is path and query.
    headers : HTTPHeaders
        As they came.
    body : bytes
        The whole body.
    received_s : float
        When its headers were read, by the event loop's clock.
    deadline_s : float or None
        How long the caller waits, counted from ``received_s``.
    generation : Generation or None
        None for a plain request.
    resume_after : str
        The last event that the caller has; empty to begin.
    caller : str
        Its caller's credentials; empty where callers have none.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes
    received_s: float
    deadline_s: float | None
    generation: Generation | None
    resume_after: str
    caller: str = ''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    @functools.cached_property
    def fingerprint(self) -> str:
        """What all attempts at this request share; hashes the body."""
        return fingerprint.fingerprint(
            host=self.host,
            path=self.path,
            caller=self.caller,
            body=self.body,
        )
