"""One route."""

import dataclasses

from limpetroute.routing import route_kind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """A service's part of a route's requests, relative to the others."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests of one host and path go, and how.

    Parameters
    ----------
    name : str
        For log lines.
    host : str
        Host the caller names.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    timeout_s : float
        Longest time that a caller is kept waiting for a whole answer.
    target_s : float
        Time within which an answer, or a stream's first event, is good.
    gap_target_s : float or None
        Longest pause between two events of a good stream.
    priority : int
        Rank; 0 goes first.
    shares : tuple of Share
        Services, and how much each of them takes.
    max_sends : int
        Runners that one attempt of a caller may be sent to.
    resumable : bool
        Whether a stream may go on at another runner.
    silence_s : float
        Time without an event after which a stream's caller leaves.
    """

    name: str
    host: str
    path_prefix: str
    kind: route_kind.RouteKind
    timeout_s: float
    target_s: float
    gap_target_s: float | None
    priority: int
    shares: tuple[Share, ...]
    max_sends: int
    resumable: bool
    silence_s: float

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is route_kind.RouteKind.STREAM:
            return self.resumable
        return self.kind is route_kind.RouteKind.IDEMPOTENT
