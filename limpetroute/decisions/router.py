"""The interface between the decisions and what carries them out."""

import typing

from limpetroute.decisions import action
from limpetroute.decisions import load_report
from limpetroute.decisions import policy_config
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work


class Router(typing.Protocol):
    """Decides what runs where and when.

    The entry process and the bench both tell it what happened and then
    carry out `actions`. It knows no clock: each call brings ``now_s``.
    """

    def configure(
        self, config: policy_config.PolicyConfig, now_s: float
    ) -> None:
        """Take the objective and shares of a new manifest."""

    def on_runner(self, facts: runner_facts.RunnerFacts, now_s: float) -> None:
        """Take a runner's announcement, new or changed."""

    def on_runner_gone(self, runner_id: str, now_s: float) -> None:
        """Forget a runner whose heartbeats ended."""

    def on_report(self, report: load_report.LoadReport, now_s: float) -> None:
        """Take a load report."""

    def on_cached(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Take a cache event: these prefix blocks are held there."""

    def on_evicted(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Take a cache event: these prefix blocks are no longer held."""

    def offer(self, item: work.Work, now_s: float) -> None:
        """Take a new request; `actions` says what becomes of it."""

    def on_prefill_done(
        self, work_id: str, cached_tokens: int, now_s: float
    ) -> None:
        """Note that the prompt was read."""

    def on_transfer_done(self, work_id: str, now_s: float) -> None:
        """Note that the KV cache arrived at the decode runner."""

    def on_tokens(self, work_id: str, count: int, now_s: float) -> None:
        """Note tokens that arrived."""

    def on_denied(
        self, work_id: str, runner_id: str, free_slots: int, now_s: float
    ) -> None:
        """Note that the runner's lease holder granted no room.

        The request is queued again; nothing was sent to the runner.
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

        `actions` then starts it again elsewhere or gives it up.
        """

    def on_end(self, work_id: str, how: stage.Ending, now_s: float) -> None:
        """Note that the request is over and holds nothing."""

    def actions(self, now_s: float) -> list[action.Action]:
        """Return what is to be done now, in order."""

    def wake_s(self) -> float | None:
        """Return when `actions` has something new without an event."""
