"""Carries out a router's actions for one request, as the entry does."""

import typing

from limpetroute.bench import clock as clock_module
from limpetroute.bench import decode_model
from limpetroute.bench import measure as measure_module
from limpetroute.bench import prefill_model
from limpetroute.decisions import action
from limpetroute.decisions import stage

if typing.TYPE_CHECKING:
    from limpetroute.bench import world as world_module


class Session:
    """One request between its router and the modelled runners.

    Parameters
    ----------
    world : World
        Clock, runners and links.
    host : Host
        The entry host that holds the request.
    fate : Fate
        Where the result is written.
    """

    __slots__ = (
        '_decode_id',
        '_dies_s',
        '_host',
        '_job',
        '_prefill_id',
        '_prefill_used',
        '_read',
        '_run',
        '_timers',
        '_world',
        'fate',
        'over',
    )

    def __init__(
        self,
        *,
        world: 'world_module.World',
        host: 'world_module.Host',
        fate: measure_module.Fate,
    ) -> None:
        self._world = world
        self._host = host
        self.fate = fate
        self.over = False
        self._prefill_id: str | None = None
        self._decode_id: str | None = None
        self._job: prefill_model.PrefillJob | None = None
        self._run: decode_model.DecodeRun | None = None
        self._timers: list[clock_module.Timer] = []
        self._dies_s = 0.0
        self._read = 0
        self._prefill_used = True

    @property
    def work_id(self) -> str:
        """Name of the request."""
        return self.fate.arrival.item.work_id

    def act(self, todo: action.Action) -> None:
        """Carry one action out."""
        if self.over:
            return
        if isinstance(todo, action.StartPrefill):
            self._prefill(todo)
            return
        if isinstance(todo, action.StartDecode):
            self._decode(todo)
            return
        self._give_up(todo)

    def cancel(self) -> None:
        """Let the caller leave."""
        if self.over:
            return
        self._finish('cancelled', stage.Ending.CANCELLED)

    def _prefill(self, todo: action.StartPrefill) -> None:
        world = self._world
        if todo.decode_runner_id is not None:
            if not self._acquire(todo.decode_runner_id, todo.kv_bytes):
                return
        self._prefill_id = todo.runner_id
        item = self.fate.arrival.item
        job = prefill_model.PrefillJob(
            tokens=item.prompt_tokens + self.fate.tokens,
            blocks=item.prefix_blocks,
            priority=todo.priority,
            on_done=lambda cached: self._prefilled(job, cached),
        )
        self._job = job
        self._prefill_used = False
        runner = world.prefills[todo.runner_id]
        world.clock.after(world.shape.hop_s, lambda: self._submit(runner, job))

    def _submit(self, runner, job: prefill_model.PrefillJob) -> None:
        if not job.cancelled:
            runner.submit(job)

    def _prefilled(
        self, job: prefill_model.PrefillJob, cached: int | None
    ) -> None:
        world = self._world
        if self.over or job.cancelled:
            return
        if cached is None:
            self._waste(job)
            self._fail(stage.Stage.PREFILL, self._prefill_id or '')
            return
        self._dies_s = world.clock.now_s + world.shape.result_ttl_s
        self._after_hop(
            lambda: self._host.call(
                lambda router, now_s: router.on_prefill_done(
                    self.work_id, cached, now_s
                )
            )
        )

    def _decode(self, todo: action.StartDecode) -> None:
        world = self._world
        if not self._acquire(todo.runner_id, todo.kv_bytes):
            return
        if world.clock.now_s > self._dies_s:
            self._waste(self._job)
            self._fail(stage.Stage.TRANSFER, self._prefill_id or '')
            return
        fate = self.fate
        left = fate.arrival.answer_tokens - fate.tokens
        run = decode_model.DecodeRun(
            kv_bytes=todo.kv_bytes,
            tokens=max(1, left),
            on_tokens=lambda count, last: self._tokens(run, count, last),
            on_lost=lambda: self._lost(run),
        )
        if not world.decodes[todo.runner_id].take(run):
            self._fail(stage.Stage.TRANSFER, todo.runner_id)
            return
        self._run = run
        self._transfer(todo, run)

    def _transfer(
        self, todo: action.StartDecode, run: decode_model.DecodeRun
    ) -> None:
        world = self._world
        item = self.fate.arrival.item
        size = (item.prompt_tokens + self.fate.tokens) * (
            world.shape.kv_bytes_per_token
        )
        sent = world.links.send(
            world.zone_of[self._prefill_id or ''],
            world.zone_of[todo.runner_id],
            size,
            lambda: self._arrived(run),
        )
        limit_s = world.shape.transfer_timeout_s
        if todo.transfer_timeout_s is not None:
            limit_s = min(limit_s, todo.transfer_timeout_s)
        timer = world.clock.after(limit_s, lambda: self._stalled(run, sent))
        self._timers.append(timer)

    def _arrived(self, run: decode_model.DecodeRun) -> None:
        if self.over or run is not self._run or run.gone:
            return
        self._clear_timers()
        self._host.call(
            lambda router, now_s: router.on_transfer_done(self.work_id, now_s)
        )
        self._world.decodes[self._decode_id or ''].start(run)

    def _stalled(
        self,
        run: decode_model.DecodeRun,
        sent: clock_module.Timer | None,
    ) -> None:
        if self.over or run is not self._run or run.started:
            return
        if sent is not None:
            sent.cancel()
        self._fail(stage.Stage.TRANSFER, self._decode_id or '')

    def _lost(self, run: decode_model.DecodeRun) -> None:
        if self.over or run is not self._run:
            return
        at = stage.Stage.DECODE if run.started else stage.Stage.TRANSFER
        self._fail(at, self._decode_id or '')

    def _tokens(
        self, run: decode_model.DecodeRun, count: int, last: bool
    ) -> None:
        if self.over or run is not self._run:
            return
        fate = self.fate
        now_s = self._world.clock.now_s + self._world.shape.hop_s
        if fate.first_s is None:
            fate.first_s = now_s
        self._prefill_used = True
        fate.tokens += count
        self._host.call(
            lambda router, at_s: router.on_tokens(self.work_id, count, at_s),
            pump=False,
        )
        if last:
            fate.end_s = now_s
            self._finish('completed', stage.Ending.COMPLETED)

    def _acquire(self, runner_id: str, kv_bytes: int) -> bool:
        """Ask the lease holder; tell the router where it refuses."""
        world = self._world
        if self._decode_id not in (None, runner_id):
            self._free_decode()
        self._decode_id = runner_id
        if not world.shape.leases:
            return True
        if world.grants.acquire(runner_id, self.work_id, kv_bytes):
            return True
        self._decode_id = None
        free = world.grants.free_slots(runner_id)
        self._after_hop(
            lambda: self._host.call(
                lambda router, now_s: router.on_denied(
                    self.work_id, runner_id, free, now_s
                )
            )
        )
        return False

    def _fail(self, at: stage.Stage, runner_id: str) -> None:
        self._clear_timers()
        self._free_decode()
        self._after_hop(
            lambda: self._host.call(
                lambda router, now_s: router.on_failed(
                    self.work_id, at, runner_id, now_s
                )
            )
        )

    def _give_up(self, todo: action.GiveUp) -> None:
        fate = self.fate
        now_s = self._world.clock.now_s
        fate.given_up_s = now_s
        fate.told_s = now_s + self._world.shape.hop_s
        fate.retry_after_s = todo.retry_after_s
        arrived_s = fate.arrival.item.arrived_s
        fate.refused_at_once = now_s - arrived_s <= 2 * self._world.shape.hop_s
        self._finish('given_up', stage.Ending.FAILED)
        self._world.returns(fate)

    def _finish(self, ended: str, how: stage.Ending) -> None:
        self.over = True
        self.fate.ended = ended
        self._clear_timers()
        if self._job is not None:
            self._world.prefills[self._prefill_id or ''].cancel(self._job)
            self._waste(self._job)
        self._free_decode()
        self._host.call(
            lambda router, now_s: router.on_end(self.work_id, how, now_s)
        )

    def _waste(self, job: prefill_model.PrefillJob | None) -> None:
        """Count a prompt that was read for nothing, once."""
        if job is None or self._prefill_used:
            return
        self._prefill_used = True
        self._world.measure.wasted_tokens += job.read_tokens

    def _free_decode(self) -> None:
        if self._decode_id is None:
            return
        if self._run is not None:
            self._world.decodes[self._decode_id].drop(self._run)
            self._run = None
        self._world.grants.release(self._decode_id, self.work_id)
        self._decode_id = None

    def _after_hop(self, call: typing.Callable[[], None]) -> None:
        def run() -> None:
            if not self.over:
                call()

        self._world.clock.after(self._world.shape.hop_s, run)

    def _clear_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
