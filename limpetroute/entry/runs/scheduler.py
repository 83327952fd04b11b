"""Carries messages between run tasks and the router."""

import asyncio

from limpetroute.border import announcement
from limpetroute.decisions import action
from limpetroute.decisions import policy_config
from limpetroute.decisions import router
from limpetroute.decisions import stage
from limpetroute.decisions import work

Inbox = asyncio.Queue[action.Action]


class Scheduler:
    """Owns the router and hands its actions to the run tasks.

    All calls come from the event loop's thread, so the router's state
    needs no lock.

    Parameters
    ----------
    policy : Router
        The decisions.
    """

    __slots__ = ('_inboxes', '_policy', '_timer')

    def __init__(self, *, policy: router.Router) -> None:
        self._policy = policy
        self._inboxes: dict[str, Inbox] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(policy={self._policy!r})'

    def configure(self, config: policy_config.PolicyConfig) -> None:
        """Pass a new manifest's objective and shares on."""
        self._policy.configure(config, self.now_s)
        self._pump()

    def offer(self, item: work.Work) -> Inbox:
        """Take new work; its actions arrive in the inbox returned."""
        inbox: Inbox = asyncio.Queue()
        self._inboxes[item.work_id] = inbox
        self._policy.offer(item, self.now_s)
        self._pump()
        return inbox

    def announced(self, body: announcement.AnnouncementBody) -> None:
        """Pass a runner's announcement on."""
        now_s = self.now_s
        self._policy.on_runner(body.facts(), now_s)
        report = body.load_report(now_s)
        if report is not None:
            self._policy.on_report(report, now_s)
        for event in body.cache_events:
            self._policy.on_cached(body.runner_id, event.stored, now_s)
            self._policy.on_evicted(body.runner_id, event.evicted, now_s)
        self._pump()

    def runner_gone(self, runner_id: str) -> None:
        """Pass on that a runner went silent."""
        self._policy.on_runner_gone(runner_id, self.now_s)
        self._pump()

    def prefill_done(self, work_id: str, cached_tokens: int) -> None:
        """Pass on that a prompt was read."""
        self._policy.on_prefill_done(work_id, cached_tokens, self.now_s)
        self._pump()

    def transfer_done(self, work_id: str) -> None:
        """Pass on that a KV cache arrived."""
        self._policy.on_transfer_done(work_id, self.now_s)
        self._pump()

    def tokens(self, work_id: str, count: int) -> None:
        """Pass on tokens that arrived."""
        self._policy.on_tokens(work_id, count, self.now_s)

    def denied(self, work_id: str, runner_id: str, free_slots: int) -> None:
        """Pass on that there is no room at a runner."""
        self._policy.on_denied(work_id, runner_id, free_slots, self.now_s)
        self._pump()

    def failed(
        self,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        *,
        may_repeat: bool = True,
    ) -> None:
        """Pass on that a runner failed."""
        self._policy.on_failed(work_id, at, runner_id, self.now_s, may_repeat)
        self._pump()

    def has_action(self, work_id: str) -> bool:
        """Whether an action waits for the run task."""
        inbox = self._inboxes.get(work_id)
        return inbox is not None and not inbox.empty()

    def end(self, work_id: str, how: stage.Ending) -> None:
        """Forget work that is over."""
        self._inboxes.pop(work_id, None)
        self._policy.on_end(work_id, how, self.now_s)
        self._pump()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    @property
    def now_s(self) -> float:
        """The router's clock."""
        return asyncio.get_running_loop().time()

    def _pump(self) -> None:
        for item in self._policy.actions(self.now_s):
            inbox = self._inboxes.get(item.work_id)
            if inbox is None:
                continue
            inbox.put_nowait(item)
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_s = self._policy.wake_s()
        if wake_s is None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(wake_s, self._pump)
