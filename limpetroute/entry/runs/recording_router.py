"""A router that records its inputs and decisions in a trace."""

import typing

from limpetroute.decisions import action
from limpetroute.decisions import load_report
from limpetroute.decisions import policy_config
from limpetroute.decisions import router
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work
from limpetroute.entry.runs import trace_writer
from limpetroute.wire import plain


class RecordingRouter:
    """Forwards each call to a router and writes it to a trace.

    Parameters
    ----------
    policy : Router
        The wrapped router, which makes the decisions.
    writer : TraceWriter
        Writes the trace.
    policy_name : str
        Name by which a replay creates the same router.
    """

    __slots__ = ('_policy', '_writer')

    def __init__(
        self,
        *,
        policy: router.Router,
        writer: trace_writer.TraceWriter,
        policy_name: str,
    ) -> None:
        self._policy = policy
        self._writer = writer
        writer.write(0.0, 'start', policy=policy_name)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(policy={self._policy!r})'

    def configure(
        self, config: policy_config.PolicyConfig, now_s: float
    ) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'configure', config=plain.fields(config))
        self._policy.configure(config, now_s)

    def on_runner(self, facts: runner_facts.RunnerFacts, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'runner', facts=plain.fields(facts))
        self._policy.on_runner(facts, now_s)

    def on_runner_gone(self, runner_id: str, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'runner_gone', runner_id=runner_id)
        self._policy.on_runner_gone(runner_id, now_s)

    def on_report(self, report: load_report.LoadReport, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'report', report=plain.fields(report))
        self._policy.on_report(report, now_s)

    def on_cached(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(
            now_s, 'cached', runner_id=runner_id, blocks=list(blocks)
        )
        self._policy.on_cached(runner_id, blocks, now_s)

    def on_evicted(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(
            now_s, 'evicted', runner_id=runner_id, blocks=list(blocks)
        )
        self._policy.on_evicted(runner_id, blocks, now_s)

    def offer(self, item: work.Work, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'offer', item=plain.fields(item))
        self._policy.offer(item, now_s)

    def on_prefill_done(
        self, work_id: str, cached_tokens: int, now_s: float
    ) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(
            now_s,
            'prefill_done',
            work_id=work_id,
            cached_tokens=cached_tokens,
        )
        self._policy.on_prefill_done(work_id, cached_tokens, now_s)

    def on_transfer_done(self, work_id: str, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'transfer_done', work_id=work_id)
        self._policy.on_transfer_done(work_id, now_s)

    def on_tokens(self, work_id: str, count: int, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'tokens', work_id=work_id, count=count)
        self._policy.on_tokens(work_id, count, now_s)

    def on_denied(
        self, work_id: str, runner_id: str, free_slots: int, now_s: float
    ) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(
            now_s,
            'denied',
            work_id=work_id,
            runner_id=runner_id,
            free_slots=free_slots,
        )
        self._policy.on_denied(work_id, runner_id, free_slots, now_s)

    def on_failed(
        self,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        now_s: float,
        may_repeat: bool = True,
    ) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(
            now_s,
            'failed',
            work_id=work_id,
            at=str(at),
            runner_id=runner_id,
            may_repeat=may_repeat,
        )
        self._policy.on_failed(work_id, at, runner_id, now_s, may_repeat)

    def on_end(self, work_id: str, how: stage.Ending, now_s: float) -> None:
        """Record the call and forward it to the router."""
        self._writer.write(now_s, 'end', work_id=work_id, how=str(how))
        self._policy.on_end(work_id, how, now_s)

    def actions(self, now_s: float) -> list[action.Action]:
        """Return the router's actions and record them."""
        actions = self._policy.actions(now_s)
        self._writer.write_outcome(now_s, 'actions', plain.plain(actions))
        return actions

    def wake_s(self) -> float | None:
        """Return the time of the router's next timer; not recorded."""
        return self._policy.wake_s()
