"""Replays calls of the `Router` interface on a routing policy."""

import typing

from limpetroute.decisions import action
from limpetroute.decisions import load_report
from limpetroute.decisions import policy_config
from limpetroute.decisions import round_robin
from limpetroute.decisions import router
from limpetroute.decisions import routers
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work
from limpetroute.replay import player


class RouterPlayer:
    """Drives a routing policy on the trace's clock."""

    def __init__(self) -> None:
        self._policy: router.Router = round_robin.RoundRobin()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(policy={self._policy!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the operations of the `Router` interface, by name."""
        return {
            'start': self._start,
            'configure': self._configure,
            'runner': self._runner,
            'runner_gone': self._runner_gone,
            'report': self._report,
            'cached': self._cached,
            'evicted': self._evicted,
            'offer': self._offer,
            'prefill_done': self._prefill_done,
            'transfer_done': self._transfer_done,
            'tokens': self._tokens,
            'denied': self._denied,
            'failed': self._failed,
            'end': self._end,
            'actions': self._actions,
            'wake_s': self._wake_s,
        }

    def _start(self, *, now_s: float, policy: str) -> None:
        try:
            self._policy = routers.make(policy)
        except ValueError as exc:
            raise player.PlayError(
                f'with.policy: no policy {policy!r}'
            ) from exc

    def _configure(
        self, *, now_s: float, config: policy_config.PolicyConfig
    ) -> None:
        self._policy.configure(config, now_s)

    def _runner(
        self, *, now_s: float, facts: runner_facts.RunnerFacts
    ) -> None:
        self._policy.on_runner(facts, now_s)

    def _runner_gone(self, *, now_s: float, runner_id: str) -> None:
        self._policy.on_runner_gone(runner_id, now_s)

    def _report(self, *, now_s: float, report: load_report.LoadReport) -> None:
        self._policy.on_report(report, now_s)

    def _cached(
        self, *, now_s: float, runner_id: str, blocks: list[int]
    ) -> None:
        self._policy.on_cached(runner_id, blocks, now_s)

    def _evicted(
        self, *, now_s: float, runner_id: str, blocks: list[int]
    ) -> None:
        self._policy.on_evicted(runner_id, blocks, now_s)

    def _offer(self, *, now_s: float, item: work.Work) -> None:
        self._policy.offer(item, now_s)

    def _prefill_done(
        self, *, now_s: float, work_id: str, cached_tokens: int
    ) -> None:
        self._policy.on_prefill_done(work_id, cached_tokens, now_s)

    def _transfer_done(self, *, now_s: float, work_id: str) -> None:
        self._policy.on_transfer_done(work_id, now_s)

    def _tokens(self, *, now_s: float, work_id: str, count: int) -> None:
        self._policy.on_tokens(work_id, count, now_s)

    def _denied(
        self, *, now_s: float, work_id: str, runner_id: str, free_slots: int
    ) -> None:
        self._policy.on_denied(work_id, runner_id, free_slots, now_s)

    def _failed(
        self,
        *,
        now_s: float,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        may_repeat: bool = True,
    ) -> None:
        self._policy.on_failed(work_id, at, runner_id, now_s, may_repeat)

    def _end(self, *, now_s: float, work_id: str, how: stage.Ending) -> None:
        self._policy.on_end(work_id, how, now_s)

    def _actions(self, *, now_s: float) -> list[action.Action]:
        return self._policy.actions(now_s)

    def _wake_s(self, *, now_s: float) -> float | None:
        return self._policy.wake_s()
