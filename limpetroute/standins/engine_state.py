"""Memory and runs of a stand-in engine."""

import asyncio
import collections
import dataclasses

from limpetroute.border import standin_settings
from limpetroute.decisions import prefix
from limpetroute.standins import answer_text
from limpetroute.standins import engine_faults

MAX_CANCELLED = 10_000
RUN_KEPT_S = 30.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """A decode that is in progress or has ended."""

    run_id: str
    prompt: str
    kv_bytes: int
    max_tokens: int = 0
    started: bool = False
    words: list[str] = dataclasses.field(default_factory=list)
    end: str | None = None
    ended_s: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(kw_only=True, slots=True)
class Held:
    """A prefill result that is stored until its transfer."""

    handle: str
    run_id: str
    prompt: str
    kv_bytes: int
    expires_s: float


class EngineState:
    """State of an engine, and the counters that tests check.

    Parameters
    ----------
    settings : StandinSettings
        Capacity and speed of the engine.
    """

    def __init__(self, *, settings: standin_settings.StandinSettings) -> None:
        self.settings = settings
        self.faults = engine_faults.EngineFaults()
        self.runs: dict[str, Run] = {}
        self.held: dict[str, Held] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.run_starts: collections.Counter[str] = collections.Counter()
        self.waiting_tokens = 0
        self.waiting = 0
        self.leaving = False
        self.fence = 0
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.stored: list[int] = []
        self.evicted: list[int] = []
        self._prefill_lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._cancelled: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runs={len(self.runs)!r})'

    @property
    def active(self) -> list[Run]:
        """Runs that occupy a slot."""
        return [run for run in self.runs.values() if run.end is None]

    @property
    def kv_used_bytes(self) -> int:
        """KV memory in use."""
        decodes = sum(run.kv_bytes for run in self.active)
        return decodes + sum(item.kv_bytes for item in self.held.values())

    async def prefill(
        self, run_id: str, prompt: str
    ) -> tuple[Held, int] | None:
        """Prefill a prompt and store its KV cache; one prompt at a time.

        Returns
        -------
        tuple or None
            The result and the number of cached tokens; None if the run
            was cancelled.
        """
        tokens = prefix.estimate_tokens(prompt.encode())
        self.run_starts[run_id] += 1
        self.waiting += 1
        self.waiting_tokens += tokens
        try:
            async with self._prefill_lock:
                if self.is_cancelled(run_id):
                    return None
                cached = self._use_cache(prompt)
                seconds = (tokens - cached) / (
                    self.settings.prefill_tokens_per_s
                )
                await asyncio.sleep(seconds * self.faults.slow_factor)
        finally:
            self.waiting -= 1
            self.waiting_tokens -= tokens
        self.counts['prefill_tokens'] += tokens
        if self.is_cancelled(run_id):
            return None
        now_s = asyncio.get_running_loop().time()
        held = Held(
            handle=f'kv-{run_id}-{self.counts["prefills"]}',
            run_id=run_id,
            prompt=prompt,
            kv_bytes=tokens * self.settings.kv_bytes_per_token,
            expires_s=now_s + self.settings.result_ttl_s,
        )
        self.counts['prefills'] += 1
        self.held[held.handle] = held
        return held, cached

    def _use_cache(self, prompt: str) -> int:
        """Return the number of cached tokens, and cache the whole prompt."""
        blocks = prefix.prefix_blocks(prompt.encode())
        hits = 0
        for block in blocks:
            if block not in self.cache:
                break
            hits += 1
        for block in blocks:
            if block not in self.cache:
                self.stored.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        block_tokens = prefix.BLOCK_BYTES // prefix.BYTES_PER_TOKEN
        per_block = block_tokens * self.settings.kv_bytes_per_token
        limit = max(1, self.settings.kv_capacity_bytes // 2 // per_block)
        while len(self.cache) > limit:
            block, _ = self.cache.popitem(last=False)
            self.evicted.append(block)
        return hits * block_tokens

    def is_cancelled(self, run_id: str) -> bool:
        """Return whether the run id has been cancelled."""
        return run_id in self._cancelled

    def expire(self, now_s: float) -> None:
        """Remove expired prefill results and runs that ended long ago."""
        for handle, held in list(self.held.items()):
            if held.expires_s > now_s:
                continue
            del self.held[handle]
            self.counts['results_expired'] += 1
        for run_id, run in list(self.runs.items()):
            if run.end is not None and run.ended_s + RUN_KEPT_S < now_s:
                del self.runs[run_id]

    def has_capacity(self, kv_bytes: int) -> bool:
        """Return whether a slot and enough memory for another run are free."""
        if len(self.active) >= self.settings.slots:
            return False
        used = self.kv_used_bytes + kv_bytes
        return used <= self.settings.kv_capacity_bytes

    def add_run(self, run_id: str, prompt: str, kv_bytes: int) -> None:
        """Add a run with an imported KV cache; the run occupies a slot."""
        self.runs[run_id] = Run(
            run_id=run_id, prompt=prompt, kv_bytes=kv_bytes
        )

    def start_run(self, run: Run, max_tokens: int) -> None:
        """Start the decode; a second start of the same run is ignored."""
        if run.started:
            return
        run.started = True
        run.max_tokens = max_tokens
        self.run_starts[run.run_id] += 1
        self._wake.set()

    def cancel(self, run_id: str) -> None:
        """End a run and free its memory.

        Later requests for the run id are refused. A request that arrives
        after its own cancellation would otherwise never free its memory.
        """
        self._cancelled[run_id] = None
        while len(self._cancelled) > MAX_CANCELLED:
            self._cancelled.popitem(last=False)
        for handle, held in list(self.held.items()):
            if held.run_id == run_id:
                del self.held[handle]
                self.counts['results_cancelled'] += 1
        run = self.runs.get(run_id)
        if run is None or run.end is not None:
            return
        self.counts['runs_cancelled'] += 1
        self._end(run, 'cancelled')

    async def steps(self) -> None:
        """Run batch steps until cancelled; each adds a word to every run."""
        while True:
            batch = [run for run in self.active if run.started]
            if not batch:
                self._wake.clear()
                await self._wake.wait()
                continue
            seconds = self.settings.step_s * (1 + len(batch) / 40)
            await asyncio.sleep(seconds * self.faults.slow_factor)
            for run in batch:
                self._add_word(run)

    def _add_word(self, run: Run) -> None:
        if run.end is not None:
            return
        after = self.faults.fail_decode_after
        if after is not None and len(run.words) >= after:
            self._end(run, 'failed')
            return
        tag = answer_text.tag_of(run.prompt)
        place = answer_text.words_in(run.prompt, tag) + len(run.words)
        run.words.append(answer_text.word(tag, place))
        self.counts['words'] += 1
        if len(run.words) >= run.max_tokens:
            self._end(run, 'length')
            return
        self._signal(run)

    def _end(self, run: Run, how: str) -> None:
        run.end = how
        run.ended_s = asyncio.get_running_loop().time()
        self._signal(run)

    def _signal(self, run: Run) -> None:
        run.changed.set()
        run.changed = asyncio.Event()
