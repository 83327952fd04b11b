"""A route."""

import dataclasses

from limpetroute.routing import route_kind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Relative weight of a service among the services of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Services and targets of the requests with one host and path prefix.

    Parameters
    ----------
    name : str
        Name in log lines.
    host : str
        Host that the caller names.
    path_prefix : str
        Prefix of the path; starts and ends with a slash.
    kind : RouteKind
        Kind of the requests, which decides whether they may be repeated.
    timeout_s : float
        Longest time that a caller waits for a complete answer.
    target_s : float
        Target for the time to an answer, or to a stream's first event.
    gap_target_s : float or None
        Target for the gap between two events of a stream.
    priority : int
        Priority of the requests; 0 is the highest.
    shares : tuple of Share
        Services and their weights.
    max_sends : int
        Most runners that one attempt of a caller is sent to.
    resumable : bool
        Whether a stream may be resumed at another runner.
    silence_s : float
        Time without an event after which a stream's caller disconnects.
    public : bool
        Whether requests without a team's key are allowed.
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
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is route_kind.RouteKind.STREAM:
            return self.resumable
        return self.kind is route_kind.RouteKind.IDEMPOTENT
