"""A decoded request of a caller."""

import dataclasses
import functools

from tornado import httputil

from limpetroute.routing import fingerprint
from limpetroute.routing import team as team_module
from limpetroute.wire import chunked_body

# Parts of a prompt that may be blamed for crashes of runners.
MAX_BLAMED_PARTS = 16
# More digits than any answer has events.
MAX_COUNT_DIGITS = 9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Generation:
    """Sizes of a request to a model.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    max_output_tokens : int
        Maximum number of tokens of the answer.
    expected_output_tokens : int
        The caller's estimate, correct at the median and often far off;
        the maximum if the caller gives no estimate.
    prompt_id : str
        Identity of the prompt, equal in all attempts of its caller.
        Empty if unknown.
    shared_parts : tuple of str
        Identities of the parts of the prompt, in order, that other prompts
        may share: all but the last one.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prompt_id: str = ''
    shared_parts: tuple[str, ...] = ()

    @property
    def peak_tokens(self) -> int:
        """Maximum number of tokens of KV memory that the request uses."""
        return self.prompt_tokens + self.max_output_tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A decoded request of a caller.

    Parameters
    ----------
    request_id : str
        Identity of this attempt of the caller; empty if it sent none.
    method, target, host : str
        Method, path with query, and ``Host`` header.
    headers : HTTPHeaders
        All headers, as received.
    body : bytes or ChunkedBody
        The complete body.
    received_s : float
        When the headers were read, by the event loop's clock.
    deadline_s : float or None
        How long the caller waits, in seconds from ``received_s``.
    generation : Generation or None
        Sizes of a request to a model; None for a plain request.
    resume_after : str
        Identity of the last event that the caller has received; empty
        for a new stream.
    resumes : str
        Identity of the caller's attempt that brought the stream's first
        event; empty if it names none.
    credentials_digest : str
        Digest of the caller's credentials; empty if it sent none.
    key_digest : bytes or None
        Digest of the caller's team key; None if it sent none.
    team : str
        Team of the caller; empty if it is of none or not known yet.
    priority : int or None
        The team's priority; None for that of the route.
    quota : Quota or None
        The team's quota; None if there is none.
    hides_credentials : bool
        Whether runners must not receive the caller's credentials.
    from_peer : bool
        Whether another entry host has passed the request on.
    stream_version : str or None
        Software version that began the stream, as that host says.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: httputil.HTTPHeaders
    body: bytes | chunked_body.ChunkedBody
    received_s: float
    deadline_s: float | None
    generation: Generation | None
    resume_after: str
    resumes: str = ''
    credentials_digest: str = ''
    key_digest: bytes | None = None
    team: str = ''
    priority: int | None = None
    quota: team_module.Quota | None = None
    hides_credentials: bool = False
    from_peer: bool = False
    stream_version: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def events_received(self) -> int:
        """Number of events that the caller has of an earlier attempt.

        Identities of events are assumed to count them from 1. It is 0 if the
        last one is no number.
        """
        text = self.resume_after
        if not (text.isascii() and text.isdigit()):
            return 0
        return int(text[:MAX_COUNT_DIGITS])

    @property
    def quota_cost(self) -> float:
        """Units of its team's quota that the request uses; 0 without."""
        if self.quota is None:
            return 0.0
        stated = None
        if self.generation is not None:
            stated = self.generation.peak_tokens
        return self.quota.cost(stated)

    def of_team(
        self, team: team_module.Team | None, *, hides_credentials: bool
    ) -> 'CallerRequest':
        """Return the request with the team that its caller belongs to."""
        return dataclasses.replace(
            self,
            team=team.name if team else '',
            priority=team.priority if team else None,
            quota=team.quota if team else None,
            hides_credentials=hides_credentials,
        )

    @functools.cached_property
    def fingerprint(self) -> str:
        """Hash that all attempts at this request share."""
        return fingerprint.fingerprint(
            host=self.host,
            path=self.path,
            caller=self.team or self.credentials_digest,
            body=bytes(self.body),
        )

    @functools.cached_property
    def part_keys(self) -> tuple[str, ...]:
        """Hashes of the parts of the prompt that other prompts may share."""
        if self.generation is None:
            return ()
        parts = self.generation.shared_parts[:MAX_BLAMED_PARTS]
        return tuple(
            fingerprint.part_fingerprint(
                host=self.host, team=self.team, part=part
            )
            for part in dict.fromkeys(parts)
        )
