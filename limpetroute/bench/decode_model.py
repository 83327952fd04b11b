"""A decode runner: one batch whose step time grows with its size."""

import dataclasses
import heapq
import typing

from limpetroute.bench import clock as clock_module
from limpetroute.border import experiment

EARLY_TOKENS = 8


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class DecodeRun:
    """One answer in the batch.

    ``on_tokens`` gets how many more tokens came and whether that is
    all; ``on_lost`` tells that the runner died.
    """

    kv_bytes: int
    tokens: int
    on_tokens: typing.Callable[[int, bool], None]
    on_lost: typing.Callable[[], None]
    started: bool = False
    gone: bool = False
    milestones: list[int] = dataclasses.field(default_factory=list)
    told: int = 0


class DecodeModel:
    """Holds slots and KV memory and writes answers step by step.

    Between changes of the batch all runs advance alike, so the model
    counts steps as a continuous number and wakes only when a run
    reaches a milestone: its first token, an early one, its last.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        shape: experiment.DeploymentBody,
    ) -> None:
        self._clock = clock
        self._shape = shape
        self._runs: set[DecodeRun] = set()
        self._heap: list[tuple[float, int, DecodeRun]] = []
        self._made = 0
        self._steps = 0.0
        self._changed_s = 0.0
        self._batch = 0
        self._timer: clock_module.Timer | None = None
        self.slow_factor = 1.0
        self.dead = False
        self.kv_used_bytes = 0

    @property
    def running(self) -> int:
        """Slots in use."""
        return len(self._runs)

    @property
    def step_s(self) -> float:
        """Time of one step at the present batch."""
        growth = 1 + self._batch / self._shape.step_batch
        return self._shape.step_s * growth * self.slow_factor

    def take(self, run: DecodeRun) -> bool:
        """Hold a slot and memory; False where there is no room."""
        if self.dead or len(self._runs) >= self._shape.slots:
            return False
        used = self.kv_used_bytes + run.kv_bytes
        if used > self._shape.kv_capacity_bytes:
            return False
        self._runs.add(run)
        self.kv_used_bytes = used
        return True

    def start(self, run: DecodeRun) -> None:
        """Write the answer of a run whose KV cache has arrived."""
        if run.gone:
            return
        self._advance()
        run.started = True
        self._batch += 1
        marks = {1, min(1 + EARLY_TOKENS, run.tokens), run.tokens}
        run.milestones = sorted(marks, reverse=True)
        self._push(run)
        self._arm()

    def drop(self, run: DecodeRun) -> None:
        """Free the slot and memory of a run."""
        if run.gone:
            return
        self._advance()
        self._remove(run)
        self._arm()

    def set_slow(self, factor: float) -> None:
        """Change the speed."""
        self._advance()
        self.slow_factor = factor
        self._arm()

    def die(self) -> None:
        """Lose every run."""
        self.dead = True
        runs = sorted(self._runs, key=lambda run: run.told)
        for run in runs:
            self._remove(run)
        self._heap.clear()
        self._arm()
        for run in runs:
            run.on_lost()

    def come_back(self) -> None:
        """Start again, empty."""
        self.dead = False

    def _remove(self, run: DecodeRun) -> None:
        run.gone = True
        self._runs.discard(run)
        self.kv_used_bytes -= run.kv_bytes
        if run.started:
            self._batch -= 1

    def _push(self, run: DecodeRun) -> None:
        self._made += 1
        mark = run.milestones.pop()
        due = self._steps + (mark - run.told)
        heapq.heappush(self._heap, (due, self._made, run))

    def _advance(self) -> None:
        elapsed_s = self._clock.now_s - self._changed_s
        self._changed_s = self._clock.now_s
        if self._batch:
            self._steps += elapsed_s / self.step_s

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._heap and self._heap[0][2].gone:
            heapq.heappop(self._heap)
        if not self._heap:
            return
        left = max(0.0, self._heap[0][0] - self._steps)
        self._timer = self._clock.after(left * self.step_s, self._reach)

    def _reach(self) -> None:
        self._timer = None
        self._advance()
        if not self._heap:
            return
        due, _, run = heapq.heappop(self._heap)
        self._steps = max(self._steps, due)
        if run.gone:
            self._arm()
            return
        mark = run.told + self._count(run)
        count = mark - run.told
        run.told = mark
        last = mark >= run.tokens
        if last:
            self._remove(run)
        else:
            self._push(run)
        self._arm()
        run.on_tokens(count, last)

    def _count(self, run: DecodeRun) -> int:
        reached = [1, min(1 + EARLY_TOKENS, run.tokens), run.tokens]
        marks = sorted(set(reached))
        return marks[len(marks) - len(run.milestones) - 1] - run.told
