"""Passes events to the router and its actions to the run tasks."""

import asyncio

from limpetroute.border import announcement
from limpetroute.decisions import action
from limpetroute.decisions import policy_config
from limpetroute.decisions import router
from limpetroute.decisions import stage
from limpetroute.decisions import work

Inbox = asyncio.Queue[action.Action]


class Scheduler:
    """Owns the router and delivers its actions to the run tasks.

    All calls are made on the event loop's thread, so the router's state
    needs no lock.

    Parameters
    ----------
    policy : Router
        Router that decides where and when each request runs.
    """

    __slots__ = ('_inboxes', '_policy', '_timer')

    def __init__(self, *, policy: router.Router) -> None:
        self._policy = policy
        self._inboxes: dict[str, Inbox] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(policy={self._policy!r})'

    def configure(self, config: policy_config.PolicyConfig) -> None:
        """Pass a new manifest's objective and shares to the router."""
        self._policy.configure(config, self.now_s)
        self._deliver_actions()

    def offer(self, item: work.Work) -> Inbox:
        """Offer new work to the router.

        Returns
        -------
        asyncio.Queue
            Queue that receives the router's actions for the work.
        """
        inbox: Inbox = asyncio.Queue()
        self._inboxes[item.work_id] = inbox
        self._policy.offer(item, self.now_s)
        self._deliver_actions()
        return inbox

    def receive_announcement(
        self, body: announcement.AnnouncementBody
    ) -> None:
        """Pass a runner's announcement to the router."""
        now_s = self.now_s
        self._policy.on_runner(body.facts(), now_s)
        report = body.load_report(now_s)
        if report is not None:
            self._policy.on_report(report, now_s)
        for event in body.cache_events:
            self._policy.on_cached(body.runner_id, event.stored, now_s)
            self._policy.on_evicted(body.runner_id, event.evicted, now_s)
        self._deliver_actions()

    def runner_gone(self, runner_id: str) -> None:
        """Report to the router that a runner became unresponsive."""
        self._policy.on_runner_gone(runner_id, self.now_s)
        self._deliver_actions()

    def prefill_done(self, work_id: str, cached_tokens: int) -> None:
        """Report to the router that a prefill has ended."""
        self._policy.on_prefill_done(work_id, cached_tokens, self.now_s)
        self._deliver_actions()

    def transfer_done(self, work_id: str) -> None:
        """Report to the router that a KV cache was transferred."""
        self._policy.on_transfer_done(work_id, self.now_s)
        self._deliver_actions()

    def tokens(self, work_id: str, count: int) -> None:
        """Report to the router how many tokens arrived."""
        self._policy.on_tokens(work_id, count, self.now_s)

    def denied(self, work_id: str, runner_id: str, free_slots: int) -> None:
        """Report to the router that a runner's grant was denied."""
        self._policy.on_denied(work_id, runner_id, free_slots, self.now_s)
        self._deliver_actions()

    def failed(
        self,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        *,
        may_repeat: bool = True,
    ) -> None:
        """Report to the router that a step of a request failed.

        Parameters
        ----------
        work_id : str
            The work.
        at : Stage
            Stage that failed.
        runner_id : str
            Runner of the failed step.
        may_repeat : bool
            Whether the router may start the work again.
        """
        self._policy.on_failed(work_id, at, runner_id, self.now_s, may_repeat)
        self._deliver_actions()

    def has_action(self, work_id: str) -> bool:
        """Whether an action waits in the run task's queue."""
        inbox = self._inboxes.get(work_id)
        return inbox is not None and not inbox.empty()

    def end(self, work_id: str, how: stage.Ending) -> None:
        """Remove ended work and report its end to the router."""
        self._inboxes.pop(work_id, None)
        self._policy.on_end(work_id, how, self.now_s)
        self._deliver_actions()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    @property
    def now_s(self) -> float:
        """Current time of the event loop's clock, which the router uses."""
        return asyncio.get_running_loop().time()

    def _deliver_actions(self) -> None:
        for item in self._policy.actions(self.now_s):
            inbox = self._inboxes.get(item.work_id)
            if inbox is None:
                continue
            inbox.put_nowait(item)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_s = self._policy.wake_s()
        if wake_s is None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(wake_s, self._deliver_actions)
