"""What an entry host knows about a stream that its leader does not."""

import dataclasses
import typing

from limpetroute.routing import placement
from limpetroute.routing import runner_incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlacementHints:
    """What an entry host knows about a stream that its leader does not.

    Parameters
    ----------
    backoffs_s : mapping of str to float
        Runners that accept no requests from this host, and for how long.
    leaving : tuple of RunnerIncarnation
        Runners that have announced that they are leaving.
    shedding : tuple of str
        Runners that refused the stream although it had been placed.
    is_prefilled : bool
        Whether a prefill runner holds the KV cache of the prompt.
    version, resumes, has_runner, route_priority : optional
        See `PlacementRequest`.
    """

    backoffs_s: typing.Mapping[str, float] = dataclasses.field(
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
    def unavailable(self) -> tuple[str, ...]:
        """Identities of the runners that may not be used now."""
        leaving = (one.runner_id for one in self.leaving)
        return (*self.backoffs_s, *leaving)

    def apply(
        self, request: placement.PlacementRequest, now_s: float
    ) -> placement.PlacementRequest:
        """Return a request with these hints.

        In the request, runners that ask for a backoff are listed among
        those to avoid, for leaders that do not read hints.

        Parameters
        ----------
        request : PlacementRequest
            The request as received.
        now_s : float
            Time of the scheduler's clock.
        """
        return dataclasses.replace(
            request,
            avoid=tuple(
                one for one in request.avoid if one not in self.backoffs_s
            ),
            blocked_until_s={
                runner_id: now_s + wait_s
                for runner_id, wait_s in self.backoffs_s.items()
            },
            leaving=self.leaving,
            shedding=self.shedding,
            is_prefilled=self.is_prefilled,
            version=self.version,
            resumes=self.resumes,
            has_runner=self.has_runner,
            route_priority=self.route_priority,
            reads_prompt=request.reads_prompt and not self.is_prefilled,
        )
