"""The modelled fleet, its entry hosts and what goes wrong."""

import dataclasses
import random
import time
import typing

from limpetroute.bench import arrivals
from limpetroute.bench import clock as clock_module
from limpetroute.bench import decode_model
from limpetroute.bench import grant_book
from limpetroute.bench import link_model
from limpetroute.bench import measure as measure_module
from limpetroute.bench import prefill_model
from limpetroute.bench import session as session_module
from limpetroute.border import experiment
from limpetroute.decisions import full_policy
from limpetroute.decisions import load_report
from limpetroute.decisions import router as router_module
from limpetroute.decisions import runner_facts

RETURN_SPREAD_S = 0.1


class Host:
    """One entry host: a router and the sessions it holds."""

    __slots__ = ('_router', '_sessions', '_timer', '_world')

    def __init__(
        self, *, world: 'World', router: router_module.Router
    ) -> None:
        self._world = world
        self._router = router
        self._sessions: dict[str, session_module.Session] = {}
        self._timer: clock_module.Timer | None = None

    def offer(self, session: session_module.Session) -> None:
        """Take a request."""
        self._sessions[session.work_id] = session
        self._world.measure.decisions += 1
        self.call(
            lambda router, now_s: router.offer(
                session.fate.arrival.item, now_s
            )
        )
        if isinstance(self._router, full_policy.FullPolicy):
            session.fate.predicted_s = self._router.predicted_s(
                session.work_id
            )

    def call(
        self,
        tell: typing.Callable[[router_module.Router, float], None],
        *,
        pump: bool = True,
    ) -> None:
        """Tell the router something and carry out what it says."""
        now_s = self._world.clock.now_s
        began_s = time.perf_counter()
        tell(self._router, now_s)
        todo = self._router.actions(now_s) if pump else []
        wake_s = self._router.wake_s() if pump else None
        measure = self._world.measure
        measure.decision_wall_s += time.perf_counter() - began_s
        measure.events += 1
        if pump:
            self._arm(wake_s)
        for item in todo:
            session = self._sessions.get(item.work_id)
            if session is not None:
                session.act(item)
            if session is not None and session.over:
                self._sessions.pop(item.work_id, None)

    def _arm(self, wake_s: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wake_s is None:
            return
        self._timer = self._world.clock.at(
            wake_s + 1e-6, lambda: self.call(lambda router, now_s: None)
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Runner:
    facts: runner_facts.RunnerFacts
    lies: bool = False
    silent: bool = False
    sequence: int = 0


class World:
    """Everything of one play.

    Parameters
    ----------
    shape : DeploymentBody
        The fleet.
    case : CaseBody
        Pattern and faults.
    make_router : callable
        Makes the router of one entry host.
    seed : int
        Seed of all that is random in the model.
    """

    def __init__(
        self,
        *,
        shape: experiment.DeploymentBody,
        case: experiment.CaseBody,
        make_router: typing.Callable[[int], router_module.Router],
        seed: int,
    ) -> None:
        self.shape = shape
        self.case = case
        self.clock = clock_module.Clock()
        self.grants = grant_book.GrantBook(shape=shape)
        self.links = link_model.LinkModel(
            clock=self.clock, shape=shape, random=random.Random(seed + 1)
        )
        self.prefills: dict[str, prefill_model.PrefillModel] = {}
        self.decodes: dict[str, decode_model.DecodeModel] = {}
        self.zone_of: dict[str, str] = {}
        self.measure = measure_module.Measure(
            warmup_s=case.pattern.warmup_s, end_s=case.pattern.duration_s
        )
        self._rng = random.Random(seed + 2)
        self._runners: dict[str, _Runner] = {}
        self._returned = 0
        self.hosts = [
            Host(world=self, router=make_router(seed * 100 + number))
            for number in range(shape.hosts)
        ]
        self._build()
        self._set_faults()

    def play(self, plan: list[arrivals.Arrival]) -> None:
        """Play all arrivals to their end."""
        for arrival in plan:
            self._arrive_at(arrival)
        self.clock.run_until(self.case.pattern.duration_s + 30.0)
        self.measure.read_tokens = sum(
            model.read_tokens for model in self.prefills.values()
        )
        busy_s = sum(model.busy_s for model in self.prefills.values())
        whole_s = len(self.prefills) * self.case.pattern.duration_s
        self.measure.prefill_busy = busy_s / whole_s

    def returns(self, fate: measure_module.Fate) -> None:
        """Let a refused caller come back when it was told to."""
        pattern = self.case.pattern
        if fate.arrival.attempt > 0 or fate.retry_after_s is None:
            return
        if self._rng.random() >= pattern.return_fraction:
            return
        now_s = self.clock.now_s
        delay_s = self._rng.random() * RETURN_SPREAD_S
        when_s = now_s + fate.retry_after_s + delay_s
        if when_s > pattern.duration_s:
            return
        self._returned += 1
        old = fate.arrival.item
        item = dataclasses.replace(
            old,
            work_id=f'{old.work_id}r',
            returning=True,
            arrived_s=when_s,
            first_token_by_s=when_s + old.first_token_by_s - old.arrived_s,
        )
        self._arrive_at(
            dataclasses.replace(
                fate.arrival, item=item, attempt=1, cancel_s=None
            )
        )

    def _arrive_at(self, arrival: arrivals.Arrival) -> None:
        self.clock.at(arrival.item.arrived_s, lambda: self._arrive(arrival))

    def _arrive(self, arrival: arrivals.Arrival) -> None:
        fate = measure_module.Fate(arrival=arrival)
        self.measure.fates.append(fate)
        host = self._rng.choice(self.hosts)
        session = session_module.Session(world=self, host=host, fate=fate)
        host.offer(session)
        if arrival.cancel_s is not None:
            self.clock.at(arrival.cancel_s, session.cancel)

    def _build(self) -> None:
        place = 0
        for pool in self.shape.pools:
            for role, count in (
                (runner_facts.Role.PREFILL, pool.prefill),
                (runner_facts.Role.DECODE, pool.decode),
            ):
                for _ in range(count):
                    self._add_runner(pool, role, place)
                    place += 1

    def _add_runner(
        self,
        pool: experiment.PoolShapeBody,
        role: runner_facts.Role,
        place: int,
    ) -> None:
        zone = self.shape.zones[place % len(self.shape.zones)]
        runner_id = f'{pool.name}-{role}-{place}'
        facts = runner_facts.RunnerFacts(
            runner_id=runner_id,
            incarnation=1,
            role=role,
            zone=zone,
            models=frozenset(pool.models),
            slots=self.shape.slots,
            kv_capacity_bytes=self.shape.kv_capacity_bytes,
            kv_bytes_per_token=self.shape.kv_bytes_per_token,
        )
        self.zone_of[runner_id] = zone
        self._runners[runner_id] = _Runner(facts=facts)
        if role is runner_facts.Role.PREFILL:
            self.prefills[runner_id] = prefill_model.PrefillModel(
                clock=self.clock, shape=self.shape
            )
        else:
            self.decodes[runner_id] = decode_model.DecodeModel(
                clock=self.clock, shape=self.shape
            )
        self._announce(runner_id)
        offset_s = self._rng.random() * self.shape.report_every_s
        self.clock.after(offset_s, lambda: self._beat(runner_id))

    def _announce(self, runner_id: str) -> None:
        facts = self._runners[runner_id].facts
        for host in self.hosts:
            host.call(lambda router, now_s: router.on_runner(facts, now_s))

    def _beat(self, runner_id: str) -> None:
        runner = self._runners[runner_id]
        self.clock.after(
            self.shape.report_every_s, lambda: self._beat(runner_id)
        )
        if runner.silent:
            return
        runner.sequence += 1
        report = self._report(runner_id, runner)
        self.clock.after(
            self.shape.report_lag_s,
            lambda: self._tell(
                lambda router, now_s: router.on_report(report, now_s)
            ),
        )
        self._cache_events(runner_id)

    def _report(
        self, runner_id: str, runner: _Runner
    ) -> load_report.LoadReport:
        running = waiting = tokens = used = 0
        step_s = 0.0
        prefill = self.prefills.get(runner_id)
        decode = self.decodes.get(runner_id)
        if prefill is not None and not runner.lies:
            running = prefill.running
            waiting = prefill.waiting
            tokens = prefill.waiting_tokens
        if decode is not None and not runner.lies:
            running = decode.running
            used = decode.kv_used_bytes
            step_s = decode.step_s
        return load_report.LoadReport(
            runner_id=runner_id,
            sequence=runner.sequence,
            measured_s=self.clock.now_s,
            running=running,
            waiting=waiting,
            waiting_tokens=tokens,
            kv_used_bytes=used,
            step_s=step_s,
        )

    def _cache_events(self, runner_id: str) -> None:
        model = self.prefills.get(runner_id)
        if model is None or not (model.stored or model.evicted):
            return
        stored = tuple(model.stored)
        evicted = tuple(model.evicted)
        model.stored.clear()
        model.evicted.clear()
        if self._rng.random() < self.shape.cache_event_loss:
            return

        def tell(router: router_module.Router, now_s: float) -> None:
            router.on_cached(runner_id, stored, now_s)
            router.on_evicted(runner_id, evicted, now_s)

        self.clock.after(
            self.shape.cache_event_lag_s, lambda: self._tell(tell)
        )

    def _tell(
        self,
        tell: typing.Callable[[router_module.Router, float], None],
    ) -> None:
        for host in self.hosts:
            host.call(tell)

    def _set_faults(self) -> None:
        for fault in self.case.faults:
            self.clock.at(fault.from_s, self._begin(fault))
            if fault.kind == 'dies':
                continue
            self.clock.at(fault.until_s, self._end(fault))

    def _begin(self, fault: experiment.FaultBody) -> typing.Callable:
        return lambda: self._apply(fault, fault.factor, on=True)

    def _end(self, fault: experiment.FaultBody) -> typing.Callable:
        return lambda: self._apply(fault, 1.0, on=False)

    def _apply(
        self, fault: experiment.FaultBody, factor: float, *, on: bool
    ) -> None:
        if fault.kind == 'stalled_transfers':
            self.links.stall_fraction = fault.fraction if on else 0.0
            return
        if fault.kind == 'slow_link':
            self.links.rate_factor = 1 / factor
            return
        names = list(
            self.prefills if fault.role == 'prefill' else self.decodes
        )
        runner_id = names[fault.runner % len(names)]
        if fault.kind == 'lies':
            self._runners[runner_id].lies = on
            return
        if fault.kind == 'dies':
            self._die(fault, names, fault.runner)
            return
        if runner_id in self.prefills:
            self.prefills[runner_id].slow_factor = factor
        else:
            self.decodes[runner_id].set_slow(factor)

    def _die(
        self, fault: experiment.FaultBody, names: list[str], place: int
    ) -> None:
        runner_id = names[place % len(names)]
        model = self.prefills.get(runner_id) or self.decodes[runner_id]
        self._runners[runner_id].silent = True
        model.die()
        self.clock.after(
            3.0,
            lambda: self._tell(
                lambda router, now_s: router.on_runner_gone(runner_id, now_s)
            ),
        )
        self.clock.after(fault.back_s, lambda: self._revive(runner_id))
        self.clock.after(
            fault.every_s, lambda: self._die(fault, names, place + 1)
        )

    def _revive(self, runner_id: str) -> None:
        model = self.prefills.get(runner_id) or self.decodes[runner_id]
        model.come_back()
        runner = self._runners[runner_id]
        runner.silent = False
        runner.facts = dataclasses.replace(
            runner.facts, incarnation=runner.facts.incarnation + 1
        )
        self._announce(runner_id)
