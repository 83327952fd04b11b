"""Request body about the rate limit of a runner."""

import pydantic

from limpetroute.border import strict_model
from limpetroute.routing import rate_limit
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_limits


class LimitBody(strict_model.StrictModel):
    """``POST /v1/limits``: a runner's rate limit, as a host received it.

    ``age_s`` is the time since the host received the runner's response,
    and ``takes`` is true if the host has a request to send to the runner.
    """

    runner_id: str = pydantic.Field(min_length=1, max_length=200)
    started_ms: int = pydantic.Field(ge=0)
    limit_per_s: float | None = pydantic.Field(
        ge=0, le=rate_limit.MAX_LIMIT_PER_S, allow_inf_nan=False
    )
    age_s: float = pydantic.Field(ge=0, allow_inf_nan=False)
    takes: bool

    def to_report(self, now_s: float) -> runner_limits.LimitReport:
        """Return the limit, with its time on this process's clock."""
        return runner_limits.LimitReport(
            incarnation=runner_incarnation.RunnerIncarnation(
                runner_id=self.runner_id, started_ms=self.started_ms
            ),
            limit_per_s=self.limit_per_s,
            received_s=now_s - self.age_s,
        )
