"""A stream that asks for a place, and what it gets."""

import dataclasses

from limpetroute.routing import forecast as forecast_module

# Of a stream whose first event is due within 0.9 s.
DEFAULT_SILENCE_S = 3.6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A stream that asks for places at runners.

    Parameters
    ----------
    request_id : str
        Names the stream.
    service : str
        Its service.
    prompt_tokens : int
        Tokens to read.
    output_tokens : int
        Tokens that it is expected to write.
    most_output_tokens : int
        Tokens that it may write.
    waited_s : float
        Time since the caller sent it, or got its last event.
    target_s : float
        Time from then within which its first event is good.
    patience_s : float
        Time from then after which the caller leaves.
    goes_on : bool
        Whether a part of its answer is with its caller already.
    written_tokens : int
        Tokens of its answer that are with its caller; a runner that goes
        on with it reads them like a part of the prompt.
    reads_prompt : bool
        Whether a prefill runner may read its prompt.
    may_repeat : bool
        Whether it may go to another runner if this one fails.
    zone : str
        Zone of its entry host; empty if unknown.
    prompt_id : str
        Names its prompt; the same when its caller asks again. Empty if
        unknown.
    attempt : int
        Tells apart the places that are asked for under one id.
    avoid : tuple of str
        Decode runners that it must not go to.
    pause_target_s : float or None
        Longest time between two events that is good, if its route says.
    silence_s : float
        Time without an event after which its caller leaves.
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

    @property
    def prefill_tokens(self) -> int:
        """Tokens that a runner reads before it writes."""
        return self.prompt_tokens + self.written_tokens


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Room at a decode runner, and who reads the prompt.

    Parameters
    ----------
    request_id : str
        Whose place it is.
    decode_id : str
        The decode runner.
    prefill_id : str
        The prefill runner; empty if the decode runner reads itself.
    forecast : Forecast or None
        What is expected; None where nobody decided for all hosts.
    """

    request_id: str
    decode_id: str
    prefill_id: str
    forecast: forecast_module.Forecast | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """There is no place in time.

    Parameters
    ----------
    request_id : str
        Who is refused.
    retry_after_s : float
        When there should be room.
    reason : str
        For the log.
    """

    request_id: str
    retry_after_s: float
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """A stream gives its place back.

    Parameters
    ----------
    request_id : str
        Whose place it was.
    attempt : int
        The attempt it was given for.
    output_tokens : int
        Tokens that were written, as far as known; 0 if none.
    decode_s : float
        Time from the first event to the last.
    failed : tuple of str
        Runners that did not answer as they should.
    full : tuple of str
        Runners that refused for want of room.
    whole : bool
        Whether the answer came to its own end.
    """

    request_id: str
    attempt: int = 0
    output_tokens: int = 0
    decode_s: float = 0.0
    failed: tuple[str, ...] = ()
    full: tuple[str, ...] = ()
    whole: bool = False
