"""Interface between the decisions and the code that executes them."""

import typing

from limpetroute.decisions import action
from limpetroute.decisions import load_report
from limpetroute.decisions import policy_config
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work


class Router(typing.Protocol):
    """Decides which request runs when and on which runners.

    The entry process and the bench report events to it and then execute
    `actions`. It reads no clock: each call passes the time ``now_s``.
    """

    def configure(
        self, config: policy_config.PolicyConfig, now_s: float
    ) -> None:
        """Apply the objective and shares of a new manifest."""

    def on_runner(self, facts: runner_facts.RunnerFacts, now_s: float) -> None:
        """Store a new or changed announcement of a runner."""

    def on_runner_gone(self, runner_id: str, now_s: float) -> None:
        """Remove a runner whose heartbeats stopped."""

    def on_report(self, report: load_report.LoadReport, now_s: float) -> None:
        """Apply a load report."""

    def on_cached(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Apply a cache event: the runner has cached these blocks."""

    def on_evicted(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Apply a cache event: the runner has evicted these blocks."""

    def offer(self, item: work.Work, now_s: float) -> None:
        """Submit a new request; `actions` returns its outcome."""

    def on_prefill_done(
        self, work_id: str, cached_tokens: int, now_s: float
    ) -> None:
        """Note that the prefill is done."""

    def on_transfer_done(self, work_id: str, now_s: float) -> None:
        """Note that the KV cache arrived at the decode runner."""

    def on_tokens(self, work_id: str, count: int, now_s: float) -> None:
        """Note tokens that arrived."""

    def on_denied(
        self, work_id: str, runner_id: str, free_slots: int, now_s: float
    ) -> None:
        """Note that the runner's lease holder denied a grant.

        The request is queued again; nothing was sent to the runner.

        Parameters
        ----------
        free_slots : int
            Free slots of the runner, as the lease holder counts them.
        """

    def on_failed(
        self,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        now_s: float,
        may_repeat: bool = True,
    ) -> None:
        """Note that a runner failed the request.

        `actions` then retries it on another runner or gives it up.

        Parameters
        ----------
        runner_id : str
            The runner at fault: for a transfer the decode runner, or the
            prefill runner if that one no longer has the KV cache.
        may_repeat : bool
            Whether the request may be run again.
        """

    def on_end(self, work_id: str, how: stage.Ending, now_s: float) -> None:
        """Note that the request has ended; free all it has reserved."""

    def actions(self, now_s: float) -> list[action.Action]:
        """Return the actions to execute now, in order."""

    def wake_s(self) -> float | None:
        """Return the time to call `actions` if no event occurs before."""
