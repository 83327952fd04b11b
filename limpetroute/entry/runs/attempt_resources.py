"""Runner memory and grants that a request's attempt holds."""

import functools
import time

from limpetroute.entry.peering import grants as grants_module
from limpetroute.entry.records import live_record
from limpetroute.entry.runs import attempt as attempt_module
from limpetroute.entry.runs import run_context
from limpetroute.runners import engine_client


class AttemptResources:
    """Tracks the newest attempt and frees the resources of each attempt.

    Parameters
    ----------
    live : LiveRecord
        The request's record.
    context : RunContext
        Source of the grants and of the canceller.
    """

    __slots__ = ('_context', '_live', 'attempt')

    def __init__(
        self, *, live: live_record.LiveRecord, context: run_context.RunContext
    ) -> None:
        self._live = live
        self._context = context
        self.attempt: attempt_module.Attempt | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(attempt={self.attempt!r})'

    def start(self, attempt: attempt_module.Attempt) -> attempt_module.Attempt:
        """Free the previous attempt and set the new one."""
        self.free()
        self.attempt = attempt
        self._live.attempt_run_id = attempt.run_id
        self._live.attempt_start_index = attempt.start_index
        return attempt

    def note_sent(
        self, runner_id: str, engine: engine_client.EngineClient
    ) -> None:
        """Note that the runner may hold memory of the attempt."""
        if self.attempt is not None:
            self.attempt.contacted[runner_id] = engine

    def note_not_run(self, runner_id: str) -> None:
        """Note that the runner holds no memory of the attempt."""
        if self.attempt is not None:
            self.attempt.contacted.pop(runner_id, None)

    async def acquire(self, runner_id: str, kv_bytes: int) -> int | None:
        """Acquire a grant for a runner unless the attempt has one.

        Returns
        -------
        int or None
            None if the attempt has the grant; else the number of the
            runner's free slots, as counted by the grantor that denied
            it.
        """
        attempt = self.attempt
        assert attempt is not None
        if runner_id in attempt.fences:
            return None
        result = await self._context.grants.acquire(
            runner_id=runner_id, work_id=attempt.run_id, kv_bytes=kv_bytes
        )
        if isinstance(result, grants_module.Denied):
            return result.free_slots
        attempt.fences[runner_id] = result.fence
        return None

    def release(self) -> None:
        """Release the grants after the runner reported the run's end."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        for runner_id in attempt.fences:
            self._release(runner_id, attempt.run_id)

    def free(self) -> None:
        """Cancel the attempt at its runners and release its grants."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        self._count_wasted_prefill(attempt)
        for runner_id, engine in attempt.contacted.items():
            self._free(attempt, runner_id, engine)
        for runner_id in attempt.fences:
            if runner_id not in attempt.contacted:
                self._release(runner_id, attempt.run_id)

    def free_one(self, runner_id: str) -> None:
        """Cancel the attempt at one runner and release its grant.

        The attempt stays the newest and keeps its other runners.
        """
        attempt = self.attempt
        assert attempt is not None
        engine = attempt.contacted.pop(runner_id, None)
        if engine is not None:
            self._free(attempt, runner_id, engine)
        elif runner_id in attempt.fences:
            self._release(runner_id, attempt.run_id)
        attempt.fences.pop(runner_id, None)

    def _free(
        self,
        attempt: attempt_module.Attempt,
        runner_id: str,
        engine: engine_client.EngineClient,
    ) -> None:
        # The grant is released only after the cancel has ended. Released
        # earlier, the slot could be granted again while still in use.
        self._context.canceller.cancel(
            run_id=attempt.run_id,
            engine=engine,
            on_end=functools.partial(
                self._freed,
                runner_id,
                attempt.run_id,
                str(self._live.stage),
                self._live.gone_s,
            ),
        )

    def _freed(
        self,
        runner_id: str,
        run_id: str,
        at: str,
        gone_s: float | None,
        confirmed: bool,
    ) -> None:
        self._release(runner_id, run_id)
        if gone_s is not None and confirmed:
            self._context.meters.gone_caller_freed(
                at, time.monotonic() - gone_s
            )

    def _release(self, runner_id: str, run_id: str) -> None:
        self._context.grants.release(runner_id=runner_id, work_id=run_id)

    def _count_wasted_prefill(self, attempt: attempt_module.Attempt) -> None:
        result = attempt.result
        if result is None:
            return
        if len(self._live.record.events) > attempt.start_index:
            return
        self._context.meters.wasted_prefill(
            max(0, result.prompt_tokens - result.cached_tokens)
        )
