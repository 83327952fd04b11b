"""A prefill runner: one prompt at a time, with a prefix cache."""

import collections
import dataclasses
import typing

from limpetroute.bench import clock as clock_module
from limpetroute.border import experiment

BLOCK_TOKENS = 64


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class PrefillJob:
    """One prompt to read.

    ``on_done`` gets the cached tokens, or None where the runner died.
    """

    tokens: int
    blocks: tuple[int, ...]
    on_done: typing.Callable[[int | None], None]
    priority: int = 0
    cancelled: bool = False
    read_tokens: int = 0


class PrefillModel:
    """Reads prompts by priority, then in order of arrival.

    Parameters
    ----------
    clock : Clock
        The virtual clock.
    shape : DeploymentBody
        Speed and memory.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        shape: experiment.DeploymentBody,
    ) -> None:
        self._clock = clock
        self._shape = shape
        self._queue: collections.deque[PrefillJob] = collections.deque()
        self._current: PrefillJob | None = None
        self._timer: clock_module.Timer | None = None
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        block_bytes = BLOCK_TOKENS * shape.kv_bytes_per_token
        self._cache_limit = max(1, shape.kv_capacity_bytes // 2 // block_bytes)
        self.slow_factor = 1.0
        self.dead = False
        self.read_tokens = 0
        self._began_s = 0.0
        self._ends_s = 0.0
        self.busy_s = 0.0
        self.stored: list[int] = []
        self.evicted: list[int] = []

    @property
    def running(self) -> int:
        """Prompts being read."""
        return 0 if self._current is None else 1

    @property
    def waiting(self) -> int:
        """Prompts that wait."""
        return len(self._queue)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the prompts being read or waiting."""
        total = sum(job.tokens for job in self._queue)
        if self._current is not None:
            total += self._current.tokens
        return total

    def submit(self, job: PrefillJob) -> None:
        """Queue a prompt."""
        if self.dead:
            self._clock.after(0.0, lambda: job.on_done(None))
            return
        place = len(self._queue)
        while place and self._queue[place - 1].priority < job.priority:
            place -= 1
        self._queue.insert(place, job)
        if self._current is None:
            self._next()

    def cancel(self, job: PrefillJob) -> None:
        """Drop a prompt, also when it is being read."""
        job.cancelled = True
        if job is not self._current:
            return
        # Only what was read counts, as read and as wasted.
        whole_s = self._ends_s - self._began_s
        share = (self._clock.now_s - self._began_s) / max(1e-9, whole_s)
        unread = int(job.read_tokens * (1 - share))
        job.read_tokens -= unread
        self.read_tokens -= unread
        if self._timer is not None:
            self._timer.cancel()
        self._current = None
        self._next()

    def die(self) -> None:
        """Lose the cache and fail every prompt."""
        self.dead = True
        if self._timer is not None:
            self._timer.cancel()
        jobs = list(self._queue)
        if self._current is not None:
            jobs.append(self._current)
        self._queue.clear()
        self._current = None
        self._cache.clear()
        for job in jobs:
            if not job.cancelled:
                job.on_done(None)

    def come_back(self) -> None:
        """Start again, empty."""
        self.dead = False

    def _next(self) -> None:
        while self._queue:
            job = self._queue.popleft()
            if job.cancelled:
                continue
            self._start(job)
            return

    def _start(self, job: PrefillJob) -> None:
        self._current = job
        cached = self._use_cache(job.blocks)
        job.read_tokens = max(1, job.tokens - cached)
        self.read_tokens += job.read_tokens
        seconds = job.read_tokens / self._shape.prefill_tokens_per_s
        seconds += self._shape.prefill_overhead_s
        self._began_s = self._clock.now_s
        self._ends_s = self._began_s + seconds * self.slow_factor
        self.busy_s += seconds * self.slow_factor
        self._timer = self._clock.after(
            seconds * self.slow_factor, lambda: self._done(job, cached)
        )

    def _done(self, job: PrefillJob, cached: int) -> None:
        self._current = None
        job.on_done(cached)
        if self._current is None:
            self._next()

    def _use_cache(self, blocks: tuple[int, ...]) -> int:
        hits = 0
        for block in blocks:
            if block not in self._cache:
                break
            hits += 1
        for block in blocks:
            if block not in self._cache:
                self.stored.append(block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_limit:
            block, _ = self._cache.popitem(last=False)
            self.evicted.append(block)
        return hits * BLOCK_TOKENS
