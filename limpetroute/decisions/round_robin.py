"""Round robin: the simplest router, used as a baseline."""

import collections
import typing

from limpetroute.decisions import action
from limpetroute.decisions import load_report
from limpetroute.decisions import policy_config
from limpetroute.decisions import runner_facts
from limpetroute.decisions import stage
from limpetroute.decisions import work

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
DENIED_PAUSE_S = 0.05


class _Entry:
    __slots__ = ('attempts', 'decode_id', 'item', 'prefill_id', 'tried')

    def __init__(self, *, item: work.Work) -> None:
        self.item = item
        self.attempts = 0
        self.prefill_id: str | None = None
        self.decode_id: str | None = None
        self.tried: set[str] = set()


class RoundRobin:
    """Sends each request to the next runner in order.

    Load pattern: none. It is the baseline against which the benefit of
    the other decisions is measured; a request waits only for a free
    decode slot.
    """

    __slots__ = (
        '_actions',
        '_decodes_in_use',
        '_denied_until_s',
        '_entries',
        '_last_choice',
        '_queue',
        '_runners',
    )

    def __init__(self) -> None:
        self._runners: dict[str, runner_facts.RunnerFacts] = {}
        self._entries: dict[str, _Entry] = {}
        self._queue: collections.deque[str] = collections.deque()
        self._decodes_in_use: collections.Counter[str] = collections.Counter()
        self._denied_until_s: dict[str, float] = {}
        self._actions: list[action.Action] = []
        self._last_choice = 0

    def configure(
        self, config: policy_config.PolicyConfig, now_s: float
    ) -> None:
        """Ignore objective and shares."""

    def on_runner(self, facts: runner_facts.RunnerFacts, now_s: float) -> None:
        """Store a new or changed announcement of a runner."""
        self._runners[facts.runner_id] = facts

    def on_runner_gone(self, runner_id: str, now_s: float) -> None:
        """Remove a runner whose heartbeats stopped."""
        self._runners.pop(runner_id, None)

    def on_report(self, report: load_report.LoadReport, now_s: float) -> None:
        """Ignore load reports."""

    def on_cached(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Ignore cache events."""

    def on_evicted(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Ignore cache events."""

    def offer(self, item: work.Work, now_s: float) -> None:
        """Queue a new request."""
        self._entries[item.work_id] = _Entry(item=item)
        self._queue.append(item.work_id)

    def on_prefill_done(
        self, work_id: str, cached_tokens: int, now_s: float
    ) -> None:
        """Start the decode where its slot is reserved."""
        entry = self._entries.get(work_id)
        if entry is None or entry.decode_id is None:
            return
        self._actions.append(
            action.StartDecode(
                work_id=work_id,
                runner_id=entry.decode_id,
                kv_bytes=self._kv_bytes(entry),
            )
        )

    def on_transfer_done(self, work_id: str, now_s: float) -> None:
        """Ignore transfers."""

    def on_tokens(self, work_id: str, count: int, now_s: float) -> None:
        """Ignore tokens."""

    def on_denied(
        self, work_id: str, runner_id: str, free_slots: int, now_s: float
    ) -> None:
        """Queue the request again at the front.

        The runner is skipped for `DENIED_PAUSE_S`. Requested again at
        once, the lease holder would deny again, in a busy loop.
        """
        entry = self._entries.get(work_id)
        if entry is None:
            return
        self._release(entry)
        self._denied_until_s[runner_id] = now_s + DENIED_PAUSE_S
        self._queue.appendleft(work_id)

    def on_failed(
        self,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        now_s: float,
        may_repeat: bool = True,
    ) -> None:
        """Queue the request again, without the runner that failed."""
        entry = self._entries.get(work_id)
        if entry is None:
            return
        self._release(entry)
        entry.tried.add(runner_id)
        if may_repeat and entry.attempts < MAX_ATTEMPTS:
            self._queue.append(work_id)
            return
        self._give_up(work_id, action.Reason.RETRIES)

    def on_end(self, work_id: str, how: stage.Ending, now_s: float) -> None:
        """Remove the request and free its slot."""
        entry = self._entries.pop(work_id, None)
        if entry is not None:
            self._release(entry)

    def actions(self, now_s: float) -> list[action.Action]:
        """Return the actions to carry out now, in order."""
        for runner_id, until_s in list(self._denied_until_s.items()):
            if until_s <= now_s:
                del self._denied_until_s[runner_id]
        for _ in range(len(self._queue)):
            work_id = self._queue.popleft()
            entry = self._entries.get(work_id)
            if entry is None:
                continue
            if now_s >= entry.item.first_token_by_s:
                self._give_up(work_id, action.Reason.DEADLINE)
                continue
            if not self._start(entry):
                self._queue.append(work_id)
        actions = self._actions
        self._actions = []
        return actions

    def wake_s(self) -> float | None:
        """Return the first deadline of the queued requests."""
        deadlines = [
            self._entries[work_id].item.first_token_by_s
            for work_id in self._queue
            if work_id in self._entries
        ]
        if deadlines:
            deadlines.extend(self._denied_until_s.values())
        return min(deadlines, default=None)

    def _start(self, entry: _Entry) -> bool:
        model = entry.item.model
        prefill = self._next(runner_facts.Role.PREFILL, model, entry.tried)
        decode = self._next(runner_facts.Role.DECODE, model, entry.tried)
        if prefill is None or decode is None:
            return False
        entry.attempts += 1
        entry.prefill_id = prefill.runner_id
        entry.decode_id = decode.runner_id
        self._decodes_in_use[decode.runner_id] += 1
        self._actions.append(
            action.StartPrefill(
                work_id=entry.item.work_id,
                runner_id=prefill.runner_id,
                decode_runner_id=decode.runner_id,
                kv_bytes=self._kv_bytes(entry),
            )
        )
        return True

    def _next(
        self, role: runner_facts.Role, model: str, tried: set[str]
    ) -> runner_facts.RunnerFacts | None:
        candidates = [
            facts
            for facts in self._runners.values()
            if facts.role is role
            and model in facts.models
            and not facts.leaving
            and facts.runner_id not in tried
            and facts.runner_id not in self._denied_until_s
            and (
                role is not runner_facts.Role.DECODE
                or self._decodes_in_use[facts.runner_id] < facts.slots
            )
        ]
        if not candidates:
            return None
        return self._choose(candidates)

    def _choose(
        self, candidates: list[runner_facts.RunnerFacts]
    ) -> runner_facts.RunnerFacts:
        self._last_choice += 1
        return candidates[self._last_choice % len(candidates)]

    def _kv_bytes(self, entry: _Entry) -> int:
        facts = self._runners.get(entry.decode_id or '')
        per_token = facts.kv_bytes_per_token if facts else 0
        item = entry.item
        return (item.prompt_tokens + item.max_tokens) * per_token

    def _release(self, entry: _Entry) -> None:
        if entry.decode_id is not None:
            self._decodes_in_use[entry.decode_id] -= 1
        entry.decode_id = None
        entry.prefill_id = None

    def _give_up(self, work_id: str, reason: action.Reason) -> None:
        self._actions.append(
            action.GiveUp(
                work_id=work_id,
                reason=reason,
                retry_after_s=RETRY_AFTER_S,
            )
        )
