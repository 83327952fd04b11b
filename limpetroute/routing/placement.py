"""Requests for placements of streams, and their results."""

import dataclasses
import math
import typing

from limpetroute.routing import forecast as forecast_module
from limpetroute.routing import free_memory_index
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info

# Fits streams whose first event is due within 0.9 s.
DEFAULT_SILENCE_S = 3.6

# Hosts send these in headers, see `PlacementHints`.
_HEADER_FIELDS = (
    'blocked_until_s',
    'leaving',
    'shedding',
    'is_prefilled',
    'version',
    'resumes',
    'has_runner',
    'is_unknown_stream',
    'route_priority',
)
DecodeRunners = (
    free_memory_index.FreeMemoryIndex | typing.Sequence[runner_info.RunnerInfo]
)

_TEAM_FIELDS = ('team', 'quota_cost', 'priority', 'over_quota')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A request to place a stream on runners.

    Parameters
    ----------
    request_id : str
        Identifies the stream.
    service : str
        Name of its service.
    prompt_tokens : int
        Length of the prompt.
    output_tokens : int
        Expected length of the answer.
    most_output_tokens : int
        Upper limit of the answer's length.
    waited_s : float
        Time since the caller sent the request or received its last event.
    target_s : float
        Time from then within which the first event meets the target.
    patience_s : float
        Time from then after which the caller disconnects.
    goes_on : bool
        Whether the caller already has a part of the answer, so that the stream
        is resumed.
    written_tokens : int
        Tokens of the answer that the caller already has. The runner that
        resumes the stream prefills them together with the prompt.
    reads_prompt : bool
        Whether a prefill runner may prefill the prompt.
    may_repeat : bool
        Whether the request may be sent to another runner if this one fails.
    zone : str
        Zone of the entry host; empty if unknown.
    prompt_id : str
        Identifies the prompt, also when the caller retries. Empty if unknown.
    attempt : int
        Distinguishes the placements that are requested under one id.
    avoid : tuple of str
        Runners that must not be chosen.
    pause_target_s : float or None
        Longest gap between two events that meets the target, if the route sets
        one.
    silence_s : float
        Time without an event after which the caller disconnects.
    team : str
        The caller's team; empty if it is of none.
    quota_cost : float
        Units to charge to the team's quota; 0 if they are charged already.
    priority : int
        Priority of the team, or of the route if the team has none; 0 is the
        highest. It decides together with `route_priority` while streams of the
        service have different priorities.
    blocked_until_s : mapping of str to float
        Runners that accept no requests from the entry host, and until when,
        by the scheduler's clock.
    leaving : tuple of RunnerIncarnation
        Runners that have announced to the entry host that they are leaving.
    shedding : tuple of str
        Runners that refused the stream although it had been placed.
    is_prefilled : bool
        Whether a prefill runner holds the KV cache of the prompt.
    version : str or None
        Software version that the decode runner must have, because it began
        the stream; None if there is none or it is not known.
    resumes : str
        Request whose answer began the stream, as its caller names it; empty
        if the caller names none.
    has_runner : bool
        Whether the stream still runs at another runner, where it may go on.
    route_priority : int or None
        Priority of the stream's route; None from hosts of earlier releases.
    """

    request_id: str
    service: str
    prompt_tokens: int
    output_tokens: int
    most_output_tokens: int
    waited_s: float
    target_s: float
    patience_s: float
    goes_on: bool = False
    written_tokens: int = 0
    reads_prompt: bool = True
    may_repeat: bool = True
    zone: str = ''
    prompt_id: str = ''
    attempt: int = 0
    avoid: tuple[str, ...] = ()
    pause_target_s: float | None = None
    silence_s: float = DEFAULT_SILENCE_S
    team: str = ''
    quota_cost: float = 0.0
    priority: int = 0
    blocked_until_s: typing.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    leaving: tuple[runner_incarnation.RunnerIncarnation, ...] = ()
    shedding: tuple[str, ...] = ()
    is_prefilled: bool = False
    version: str | None = None
    resumes: str = ''
    has_runner: bool = False
    route_priority: int | None = None

    @property
    def prefill_tokens(self) -> int:
        """Tokens of the prompt and of the answer that is written already."""
        return self.prompt_tokens + self.written_tokens

    @property
    def self_prefill_tokens(self) -> int:
        """Tokens that a decode runner prefills without a prefill runner."""
        return (
            self.written_tokens if self.is_prefilled else self.prefill_tokens
        )

    def accepts(self, runner_id: str, now_s: float) -> bool:
        """Return whether a runner may be chosen at a time."""
        if runner_id in self.avoid:
            return False
        return now_s >= self.blocked_until_s.get(runner_id, -math.inf)

    def may_go_on_at(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a decode runner has the version that is asked for."""
        return self.version is None or runner.version == self.version

    def avoids_all(self, decode_runners: DecodeRunners) -> bool:
        """Return whether none of the decode runners may be chosen again."""
        if len(self.avoid) < len(decode_runners):
            return False
        return all(one.runner_id in self.avoid for one in decode_runners)

    def available_from_s(
        self,
        decode_runners: DecodeRunners,
        now_s: float,
    ) -> float:
        """Return when the host may send to one of the decode runners.

        This ignores whether the runner has capacity. Infinity if there is no
        decode runner.
        """
        blocked_until_s = self.blocked_until_s
        if len(decode_runners) > len(blocked_until_s):
            return now_s
        starts_s = (
            blocked_until_s.get(one.runner_id, now_s) for one in decode_runners
        )
        return max(now_s, min(starts_s, default=math.inf))

    def without_backoffs(self) -> 'PlacementRequest':
        """Return the same request of a host that may use all runners."""
        return dataclasses.replace(self, blocked_until_s={})


def to_body(
    message: 'PlacementRequest | Rejection',
) -> dict[str, typing.Any]:
    """Return a message as JSON types.

    Fields about teams are left out where they have their default, because
    hosts of earlier releases refuse fields that they do not know.
    """
    body = dataclasses.asdict(message)
    for name in _HEADER_FIELDS:
        body.pop(name, None)
    for name in _TEAM_FIELDS:
        if not body.get(name, True):
            del body[name]
    return body


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """A reserved slot on a decode runner, and the runner for the prefill.

    Parameters
    ----------
    request_id : str
        Stream that is placed.
    decode_id : str
        The decode runner.
    prefill_id : str
        The prefill runner; empty if the decode runner prefills the prompt.
    forecast : Forecast or None
        Forecast of the scheduler; None if an entry host placed the stream
        without the leader.
    runners : tuple of RunnerInfo
        What the leader knows of both runners, which may have announced
        themselves moments ago; empty if that is not known.
    version : str or None
        Software version that the decode runner had to have; None if any.
    """

    request_id: str
    decode_id: str
    prefill_id: str
    forecast: forecast_module.Forecast | None = None
    runners: tuple[runner_info.RunnerInfo, ...] = ()
    version: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """The answer if no placement is possible in time.

    Parameters
    ----------
    request_id : str
        Stream that is rejected.
    retry_after_s : float
        Time after which a retry should succeed.
    reason : str
        Text for the log.
    over_quota : bool
        Whether the caller's team has used up its quota.
    is_unknown_stream : bool
        Whether the stream goes on at a software version that is not known,
        so that a retry is in vain.
    """

    request_id: str
    retry_after_s: float
    reason: str
    over_quota: bool = False
    is_unknown_stream: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """The end of a stream, which releases its placement.

    Parameters
    ----------
    request_id : str
        Stream that ended.
    attempt : int
        Attempt that the placement belongs to.
    output_tokens : int
        Number of tokens written, as far as known; 0 if none.
    decode_s : float
        Time from the first event to the last.
    failed : tuple of str
        Runners that failed to answer properly.
    full : tuple of str
        Runners that refused the stream for lack of capacity.
    whole : bool
        Whether the answer ended by itself.
    """

    request_id: str
    attempt: int = 0
    output_tokens: int = 0
    decode_s: float = 0.0
    failed: tuple[str, ...] = ()
    full: tuple[str, ...] = ()
    whole: bool = False
