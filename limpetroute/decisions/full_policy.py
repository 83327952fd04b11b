"""The router that combines all decisions."""

import collections
import heapq
import typing

from limpetroute.decisions import action
from limpetroute.decisions import admission
from limpetroute.decisions import decode_placement
from limpetroute.decisions import ejection
from limpetroute.decisions import fair_queue
from limpetroute.decisions import fleet as fleet_module
from limpetroute.decisions import forecast as forecast_module
from limpetroute.decisions import job as job_module
from limpetroute.decisions import load_report
from limpetroute.decisions import model_state
from limpetroute.decisions import policy_config
from limpetroute.decisions import predictor as predictor_module
from limpetroute.decisions import prefill_placement
from limpetroute.decisions import prefix_index
from limpetroute.decisions import reservation
from limpetroute.decisions import retry_budget
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state
from limpetroute.decisions import stage
from limpetroute.decisions import transfer_budget
from limpetroute.decisions import work

Decision = policy_config.Decision
Phase = job_module.Phase

NO_RUNNER_RETRY_S = 2.0
NO_RUNNER_GRACE_S = 2.0
TOO_LONG_RETRY_S = 3600.0
DEFAULT_RETRY_S = 1.0
DENIED_PAUSE_S = 0.02
RESUME_LIMIT_S = 5.0
GAP_SAMPLE_TOKENS = 4
MAX_SHED = 4
RESULT_MARGIN_S = 0.05
ASSUMED_PREFILL_S = 0.1


class FullPolicy:
    """Implements `Router` with all decisions, for fleets under load.

    Parameters
    ----------
    config : PolicyConfig
        Objective and shares.
    """

    __slots__ = (
        '_actions',
        '_config',
        '_dirty_models',
        '_ejection',
        '_expiries',
        '_fleet',
        '_forecast',
        '_jobs',
        '_models',
        '_pause_ends',
        '_predictor',
        '_prefix_index',
        '_retries',
        '_transfers',
        '_unreserved',
    )

    def __init__(self, *, config: policy_config.PolicyConfig) -> None:
        self._config = config
        self._fleet = fleet_module.Fleet()
        self._prefix_index = prefix_index.PrefixIndex()
        self._predictor = predictor_module.Predictor()
        self._transfers = transfer_budget.TransferBudget()
        self._retries = retry_budget.RetryBudget()
        self._ejection = ejection.Ejection()
        self._forecast = forecast_module.Forecast(
            fleet=self._fleet,
            index=self._prefix_index,
            predictor=self._predictor,
            transfers=self._transfers,
        )
        self._unreserved: collections.Counter[frozenset[str]] = (
            collections.Counter()
        )
        self._jobs: dict[str, job_module.Job] = {}
        self._models: dict[str, model_state.ModelState] = {}
        self._dirty_models: dict[str, None] = {}
        self._expiries: list[tuple[float, str]] = []
        self._pause_ends: list[tuple[float, str]] = []
        self._actions: list[action.Action] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(config={self._config!r})'

    @property
    def idle(self) -> bool:
        """Whether nothing is queued, reserved, counted or in flight."""
        in_use = any(
            state.reservations or state.outstanding_prefills
            for state in self._fleet.runners.values()
        )
        models_idle = all(state.idle for state in self._models.values())
        in_flight = self._transfers.in_flight_bytes
        unreserved = any(self._unreserved.values())
        active = in_flight or unreserved
        return not self._jobs and not in_use and models_idle and not active

    @property
    def retry_tokens(self) -> float:
        """Number of retries that are allowed now."""
        return self._retries.tokens

    @property
    def runners(self) -> typing.Mapping[str, runner_state.RunnerState]:
        """State of each runner; callers must not change it."""
        return self._fleet.runners

    def predicted_s(self, work_id: str) -> float | None:
        """Return the predicted time to the first token at arrival."""
        job = self._jobs.get(work_id)
        return job.predicted_s if job else None

    def configure(
        self, config: policy_config.PolicyConfig, now_s: float
    ) -> None:
        """Apply a manifest's objective and shares; queues are kept."""
        self._config = config
        for state in self._models.values():
            state.queue.set_shares(config.team_shares)
        self._dirty_models.update(dict.fromkeys(self._models))

    def on_runner(self, facts: runner_facts.RunnerFacts, now_s: float) -> None:
        """Store a new or changed announcement of a runner."""
        old = self._fleet.runners.get(facts.runner_id)
        if old is not None and old.facts.incarnation != facts.incarnation:
            self._reset_runner(facts.runner_id)
        if self._fleet.add(facts):
            self._mark_dirty(facts.models)

    def on_runner_gone(self, runner_id: str, now_s: float) -> None:
        """Remove a runner whose heartbeats stopped."""
        state = self._fleet.remove(runner_id)
        if state is not None:
            self._reset_runner(runner_id)
            self._mark_dirty(state.facts.models)

    def on_report(self, report: load_report.LoadReport, now_s: float) -> None:
        """Apply a load report, which shows the load of other hosts."""
        state = self._fleet.runners.get(report.runner_id)
        if state is None:
            return
        if not state.outstanding_prefills:
            self._predictor.decay_wait(report.runner_id)
        self._fleet.apply_report(state, report)
        self._mark_dirty(state.facts.models)

    def on_cached(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Apply a cache event: the runner has cached these blocks."""
        if runner_id in self._fleet.runners:
            self._prefix_index.add(runner_id, blocks, now_s)

    def on_evicted(
        self, runner_id: str, blocks: typing.Sequence[int], now_s: float
    ) -> None:
        """Apply a cache event: the runner has evicted these blocks."""
        self._prefix_index.remove(runner_id, blocks)

    def offer(self, item: work.Work, now_s: float) -> None:
        """Queue a request or reject it at once."""
        idle_first_token_s = self._forecast.idle_first_token_s(item)
        limit_s = admission.limit_s(
            arrived_s=item.arrived_s,
            first_token_by_s=item.first_token_by_s,
            idle_first_token_s=idle_first_token_s,
        )
        job = job_module.Job(item=item, limit_s=limit_s)
        self._jobs[item.work_id] = job
        self._retries.earn()
        if not self._check_servable(job, now_s):
            return
        state = self._model(item.model)
        prefill_s = self._forecast.prefill_s(item, job.prefill_tokens, now_s)
        slack_s = item.first_token_by_s - item.arrived_s
        long = state.short_lane.classify(prefill_s, slack_s, now_s)
        queued = fair_queue.Queued(
            work_id=item.work_id,
            team=item.team,
            cost_s=self._forecast.cost_s(item, prefill_s),
            due_s=item.first_token_by_s,
            long=long,
            arrived_s=now_s,
        )
        job.queue_entry = queued
        is_promised = False
        if self._config.uses(Decision.RETRY_PROMISES):
            is_promised = state.retry_promises.redeem(
                team=item.team,
                key=item.key,
                returning=item.returning,
                over_share=state.queue.is_over_share(item.team, long=long),
                now_s=now_s,
            )
        fits = self._predict(job, state, prefill_s, is_promised, now_s)
        if self._config.uses(Decision.ADMISSION) and not fits:
            self._reject(job, action.Reason.SATURATED, now_s)
            return
        queued.has_priority = is_promised
        self._enqueue(job, state, now_s)
        if self._config.uses(Decision.SHEDDING):
            self._shed(state, now_s)

    def on_prefill_done(
        self, work_id: str, cached_tokens: int, now_s: float
    ) -> None:
        """Record the prefill's time and let the decode start."""
        job = self._jobs.get(work_id)
        if job is None or job.phase is not Phase.PREFILL:
            return
        runner_id = job.prefill_id or ''
        self._end_prefill(job)
        self._ejection.record_success(runner_id)
        self._record_prefill(job, runner_id, cached_tokens, now_s)
        job.prefill_done_s = now_s
        job.phase = Phase.AWAITING
        self._model(job.item.model).awaiting[work_id] = job
        self._mark_dirty((job.item.model,))

    def on_transfer_done(self, work_id: str, now_s: float) -> None:
        """Record the transfer's time, from which the link's rate follows."""
        job = self._jobs.get(work_id)
        if job is None or job.phase is not Phase.TRANSFER:
            return
        job.phase = Phase.DECODE
        self._transfers.complete(work_id, now_s)
        self._ejection.record_success(job.decode_id or '')

    def on_tokens(self, work_id: str, count: int, now_s: float) -> None:
        """Record the first token and the time between tokens."""
        job = self._jobs.get(work_id)
        if job is None or job.phase is not Phase.DECODE or count < 1:
            return
        if job.delivered_tokens == 0:
            self._record_first_token(job, now_s)
            count -= 1
            job.delivered_tokens = 1
            job.last_token_s = now_s
        elif job.last_token_s < job.prefill_done_s:
            # The gap before the first token after a restart includes
            # the new prefill and is no time between tokens.
            job.delivered_tokens += 1
            job.last_token_s = now_s
            count -= 1
        job.delivered_tokens += count
        job.gap_tokens += count
        if job.gap_tokens < GAP_SAMPLE_TOKENS:
            return
        gap_s = (now_s - job.last_token_s) / job.gap_tokens
        job.gap_tokens = 0
        job.last_token_s = now_s
        self._record_gap(job, gap_s, now_s)

    def on_denied(
        self, work_id: str, runner_id: str, free_slots: int, now_s: float
    ) -> None:
        """Correct the free slots of a runner and place the request again.

        Reports lag, so several hosts see the same slot as free. The
        lease holder's count is exact and replaces the estimate.
        """
        job = self._jobs.get(work_id)
        state = self._fleet.runners.get(runner_id)
        if job is None:
            return
        self._release_decode(job)
        if state is not None:
            reserved_slots = len(state.reservations)
            state.foreign_slots = max(
                0, state.facts.slots - reserved_slots - free_slots
            )
            self._pause(state, now_s + DENIED_PAUSE_S)
            self._fleet.reorder(state)
        if job.phase is Phase.PREFILL:
            self._end_prefill(job)
            self._requeue(job, now_s)
            return
        if job.phase is Phase.TRANSFER:
            self._transfers.abandon(work_id)
            self._await_decode(job)

    def on_failed(
        self,
        work_id: str,
        at: stage.Stage,
        runner_id: str,
        now_s: float,
        may_repeat: bool = True,
    ) -> None:
        """Retry the request on another runner, or give it up."""
        job = self._jobs.get(work_id)
        if job is None or job.phase is Phase.OVER:
            return
        was_decode = runner_id == job.decode_id
        is_transfer = at is stage.Stage.TRANSFER
        # If the transfer of one result fails to a second runner, the
        # result is at fault and not the runner: the prompt is prefilled
        # again, and the runner may be used for it.
        bad_result = is_transfer and job.transfer_count > 1
        source_failed = is_transfer and not was_decode
        if source_failed and not bad_result:
            # The link between both runners may be at fault as well.
            self._avoid(job, at, job.decode_id or '')
        failed_runner = self._fleet.runners.get(runner_id)
        if failed_runner is not None and not (source_failed and bad_result):
            self._pause(failed_runner, now_s + DENIED_PAUSE_S)
            if self._config.uses(Decision.EJECTION):
                self._ejection.record_failure(failed_runner, now_s)
        self._release_all(job)
        if not bad_result:
            self._avoid(job, at, runner_id)
        if not may_repeat:
            self._reject(job, action.Reason.RETRIES, now_s)
            return
        if is_transfer and was_decode and not bad_result:
            if (
                now_s + RESULT_MARGIN_S
                < job.prefill_done_s + self._result_ttl_s
            ):
                self._await_decode(job)
                return
        self._retry(job, now_s)

    def on_end(self, work_id: str, how: stage.Ending, now_s: float) -> None:
        """Remove the request and release all it has reserved."""
        job = self._jobs.pop(work_id, None)
        if job is None:
            return
        if how is stage.Ending.COMPLETED:
            self._predictor.record_answer(
                job.item.model, job.item.max_tokens, job.delivered_tokens
            )
        self._release_all(job)

    def actions(self, now_s: float) -> list[action.Action]:
        """Return the actions to execute now, in order."""
        self._resume_paused(now_s)
        self._expire(now_s)
        while self._dirty_models:
            models = list(self._dirty_models)
            self._dirty_models.clear()
            # A free slot goes to a finished prefill of any model before
            # it allows a new prefill to start.
            for model in models:
                self._serve_awaiting(model, now_s)
            for model in models:
                self._dispatch(model, now_s)
        actions = self._actions
        self._actions = []
        return actions

    def wake_s(self) -> float | None:
        """Return the earliest deadline, end of a pause or ejection."""
        while self._expiries:
            _, work_id = self._expiries[0]
            job = self._jobs.get(work_id)
            if job is not None and job.phase in (
                Phase.QUEUED,
                Phase.STRANDED,
                Phase.AWAITING,
            ):
                break
            heapq.heappop(self._expiries)
        times = []
        if self._expiries:
            times.append(self._expiries[0][0])
        if self._pause_ends:
            times.append(self._pause_ends[0][0])
        ejection_end_s = self._ejection.wake_s
        if ejection_end_s is not None:
            times.append(ejection_end_s)
        return min(times, default=None)

    @property
    def _result_ttl_s(self) -> float:
        return self._config.result_ttl_s

    def _model(self, name: str) -> model_state.ModelState:
        state = self._models.get(name)
        if state is None:
            state = model_state.ModelState(
                shares=self._config.team_shares,
                fair=self._config.uses(Decision.FAIRNESS),
                lanes=self._config.uses(Decision.SHORT_LANE),
            )
            self._models[name] = state
        return state

    def _mark_dirty(self, models: typing.Iterable[str]) -> None:
        for model in models:
            if model in self._models:
                self._dirty_models[model] = None

    def _reset_runner(self, runner_id: str) -> None:
        self._predictor.remove_runner(runner_id)
        self._prefix_index.remove_runner(runner_id)
        self._ejection.remove_runner(runner_id)

    def _check_servable(self, job: job_module.Job, now_s: float) -> bool:
        """Reject a request that no runner can serve.

        A model often has no runners only because its runner restarts or
        because this host has just started and has not received the
        heartbeats yet. For `NO_RUNNER_GRACE_S` such requests are
        queued until their target.

        Returns
        -------
        bool
            False if the request was rejected.
        """
        model = job.item.model
        decode_runner = self._forecast.least_loaded_decode_runner(model)
        prefills = self._fleet.count(runner_facts.Role.PREFILL, model)
        state = self._model(model)
        if decode_runner is None or not prefills:
            if state.no_runners_since_s is None:
                state.no_runners_since_s = now_s
            if now_s - state.no_runners_since_s <= NO_RUNNER_GRACE_S:
                return True
            self._give_up(job, action.Reason.NO_RUNNER, NO_RUNNER_RETRY_S)
            return False
        state.no_runners_since_s = None
        needed_bytes = forecast_module.kv_bytes_needed(
            job.item, decode_runner.facts
        )
        if needed_bytes > decode_runner.facts.kv_capacity_bytes:
            self._give_up(job, action.Reason.TOO_LONG, TOO_LONG_RETRY_S)
            return False
        return True

    def _predict(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        prefill_s: float,
        is_promised: bool,
        now_s: float,
    ) -> bool:
        """Predict the time of the first token.

        Returns
        -------
        bool
            Whether it meets the request's limit, with the margin.
        """
        item = job.item
        queued = job.queue_entry
        assert queued is not None
        over_share = state.queue.is_over_share(item.team, long=queued.long)
        job.over_share = over_share
        ahead_s = state.queue.priority_backlog_s
        if not is_promised:
            ahead_s += state.queue.cost_ahead_s(item.team, long=queued.long)
        if over_share and len(state.queue) and not is_promised:
            # Teams below their share need not leave capacity for the
            # retries that were promised to others.
            ahead_s += state.retry_promises.expected_cost_s
        wait_s = ahead_s / state.drain_rate.value
        if self._choose_prefill(job, state, now_s) is None:
            wait_s += self._forecast.free_in_s(item.model, now_s)
        if not self._has_decode_slot(job, state, ASSUMED_PREFILL_S):
            wait_s += queued.cost_s / state.drain_rate.value
        service_s = prefill_s + self._forecast.after_prefill_s(
            item, job.prefill_tokens
        )
        service_s += self._forecast.foreign_wait_s(item.model)
        job.predicted_wait_s = wait_s
        job.service_s = service_s
        bias = state.bias(long=queued.long, over_share=over_share)
        job.predicted_s = service_s + bias.corrected_wait_s(wait_s)
        is_queued = wait_s > 0 and not is_promised
        slack_s = job.limit_s - item.arrived_s
        margin = bias.margin(is_queued=is_queued)
        margin_s = margin.value_s(slack_s)
        if now_s + job.predicted_s + margin_s <= job.limit_s:
            return True
        margin.record_rejection()
        return False

    def _choose_prefill(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        now_s: float,
    ) -> prefill_placement.PrefillChoice | None:
        excluded_id = None
        if self._config.uses(Decision.SHORT_LANE):
            prefill_s = self._predictor.typical_prefill_s(job.prefill_tokens)
            role = runner_facts.Role.PREFILL
            model = job.item.model
            if self._fleet.count(role, model) > 1:
                if state.short_lane.would_block(prefill_s, now_s):
                    excluded_id = self._fleet.lowest_id(role, model)
        uses_cache = self._config.uses(Decision.CACHE_PLACEMENT)
        return prefill_placement.choose(
            fleet=self._fleet,
            index=self._prefix_index if uses_cache else None,
            predictor=self._predictor,
            item=job.item,
            tokens=job.prefill_tokens,
            failed_runners=job.failed_runners,
            excluded_id=excluded_id,
            now_s=now_s,
        )

    def _kv_bytes(self, job: job_module.Job) -> int:
        decode_runner = self._forecast.least_loaded_decode_runner(
            job.item.model
        )
        if decode_runner is None:
            return 0
        return forecast_module.kv_bytes_needed(job.item, decode_runner.facts)

    def _has_decode_slot(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        prefill_done_in_s: float,
    ) -> bool:
        """Whether a decode slot will be free when the prefill ends."""
        if not self._config.uses(Decision.RESERVATION):
            return True
        unreserved = self._unreserved[self._pool(job)]
        kv_bytes = self._kv_bytes(job)
        free, busy, busy_bytes = self._forecast.decode_capacity(
            job.item.model, kv_bytes, unreserved + 1
        )
        if free > unreserved:
            return True
        if self._config.objective is policy_config.Objective.WASTED_PREFILL:
            return False
        if kv_bytes * busy > reservation.MAX_RELATIVE_SIZE * busy_bytes:
            return False
        return reservation.may_start_unreserved(
            free_slots=free,
            unreserved=unreserved,
            busy_slots=busy,
            hold_s=self._predictor.hold_s(job.item.model, job.item.max_tokens),
            prefill_done_in_s=prefill_done_in_s,
        )

    def _enqueue(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        now_s: float,
    ) -> None:
        queued = job.queue_entry
        assert queued is not None
        job.phase = Phase.QUEUED
        state.queue.add(queued)
        latest_s = self._latest_start_s(job)
        heapq.heappush(
            self._expiries, (max(now_s, latest_s), job.item.work_id)
        )
        self._dirty_models[job.item.model] = None

    def _requeue(self, job: job_module.Job, now_s: float) -> None:
        queued = job.queue_entry
        assert queued is not None
        queued.has_priority = True
        self._enqueue(job, self._model(job.item.model), now_s)

    def _shed(self, state: model_state.ModelState, now_s: float) -> None:
        """Reject queued requests that can no longer meet their limit.

        A new request may move the requests of the heaviest team so far
        back that they would miss it.
        """
        for _ in range(MAX_SHED):
            candidate = state.queue.newest_of_heaviest_team()
            if candidate is None:
                return
            job = self._jobs[candidate.work_id]
            ahead_s = state.queue.backlog_s - candidate.cost_s
            wait_s = ahead_s / state.drain_rate.value
            bias = state.bias(long=candidate.long, over_share=job.over_share)
            end_s = now_s + bias.corrected_wait_s(wait_s) + job.service_s
            if end_s <= job.limit_s or job.delivered_tokens:
                return
            self._reject(job, action.Reason.SATURATED, now_s)

    def _dispatch(self, model: str, now_s: float) -> None:
        state = self._models[model]
        self._requeue_stranded(state, now_s)
        while True:
            progress = False
            for head in state.queue.heads():
                if self._try_start(self._jobs[head.work_id], state, now_s):
                    progress = True
                    break
            if not progress:
                break
        if len(state.queue):
            state.drain_rate.start_waiting(now_s)
        else:
            state.drain_rate.stop_waiting()

    def _try_start(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        now_s: float,
    ) -> bool:
        """Start a request or give it up; return False if it must wait."""
        if job.delivered_tokens and self._all_runners_failed(job):
            self._strand(job, state, now_s)
            return True
        choice = self._choose_prefill(job, state, now_s)
        if choice is None:
            return False
        if not self._has_decode_slot(job, state, choice.prefill_done_in_s):
            return False
        if not self._can_place_retry(job, choice.state.facts.zone, now_s):
            return False
        service_s = self._forecast.first_token_s(
            job.item, job.prefill_tokens, choice
        )
        late = now_s + service_s > job.limit_s
        if late and self._config.uses(Decision.ADMISSION):
            if not job.delivered_tokens:
                self._reject(job, action.Reason.DEADLINE, now_s)
                return True
        self._start(job, state, choice, service_s, now_s)
        return True

    def _strand(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        now_s: float,
    ) -> None:
        """Move a started answer that every runner failed out of the queue.

        The request waits for a runner to restart, until its limit. In
        the queue it would be ahead of all others and would count as
        work ahead of new requests: callers of an idle fleet were
        rejected for five seconds.
        """
        state.queue.discard(job.item.work_id)
        job.phase = Phase.STRANDED
        state.stranded[job.item.work_id] = job
        latest_s = self._latest_start_s(job)
        heapq.heappush(
            self._expiries, (max(now_s, latest_s), job.item.work_id)
        )

    def _requeue_stranded(
        self, state: model_state.ModelState, now_s: float
    ) -> None:
        """Queue stranded requests again that a new runner can serve."""
        for work_id, job in list(state.stranded.items()):
            if self._all_runners_failed(job):
                continue
            del state.stranded[work_id]
            self._requeue(job, now_s)

    def _can_place_retry(
        self, job: job_module.Job, zone: str, now_s: float
    ) -> bool:
        """Whether a request that failed before has a decode runner now.

        Free slots are counted over the pool, and the only free slot may
        be on the runner that failed the request. Its prompt would be
        prefilled again and the result wasted, because no other runner
        has a slot. A request that excludes runners therefore starts only
        if a decode runner can be chosen at once.
        """
        if not job.failed_runners or not self._config.uses(
            Decision.RESERVATION
        ):
            return True
        job.kv_bytes = self._kv_bytes(job)
        return self._place_decode(job, zone, now_s) is not None

    def _start(
        self,
        job: job_module.Job,
        state: model_state.ModelState,
        choice: prefill_placement.PrefillChoice,
        service_s: float,
        now_s: float,
    ) -> None:
        queued = job.queue_entry
        assert queued is not None
        state.queue.take(queued)
        state.drain_rate.record_taken(
            queued.cost_s, now_s, waiting=len(state.queue) > 0
        )
        if job.attempts == 0:
            waited_s = now_s - queued.arrived_s
            bias = state.bias(long=queued.long, over_share=job.over_share)
            bias.record_wait(job.predicted_wait_s, waited_s)
        runner = choice.state
        job.phase = Phase.PREFILL
        job.prefill_id = runner.runner_id
        job.prefill_sent_s = now_s
        job.transfer_count = 0
        job.service_s = service_s
        job.own_work_ahead_s = runner.outstanding_prefill_s
        job.expected_cached = choice.expected_cached
        runner.start_prefill(
            job.item.work_id,
            choice.prefill_s,
            now_s + choice.prefill_done_in_s,
        )
        self._fleet.reorder(runner)
        job.kv_bytes = self._kv_bytes(job)
        target = self._place_decode(job, runner.facts.zone, now_s)
        if target is None or not self._config.uses(Decision.RESERVATION):
            self._count_unreserved(job)
        else:
            self._reserve(job, target)
        self._actions.append(
            action.StartPrefill(
                work_id=job.item.work_id,
                runner_id=runner.runner_id,
                decode_runner_id=job.decode_id,
                kv_bytes=job.kv_bytes,
                priority=self._priority(queued),
            )
        )

    def _priority(self, queued: fair_queue.Queued) -> int:
        """Return a higher priority for short requests than for long ones.

        A runner's queue also holds long prefills of other hosts.
        """
        if queued.long or not self._config.uses(Decision.SHORT_LANE):
            return 0
        return 1

    def _place_decode(
        self, job: job_module.Job, zone: str, now_s: float
    ) -> runner_state.RunnerState | None:
        placed = self._config.uses(Decision.DECODE_PLACEMENT)
        return decode_placement.choose(
            fleet=self._fleet,
            transfers=self._transfers if placed else None,
            item=job.item,
            kv_bytes=job.kv_bytes,
            source_zone=zone,
            failed_runners=job.failed_runners,
            now_s=now_s,
        )

    def _reserve(
        self, job: job_module.Job, target: runner_state.RunnerState
    ) -> None:
        target.reserve(job.item.work_id, job.kv_bytes)
        job.decode_id = target.runner_id
        self._uncount_unreserved(job)
        self._fleet.reorder(target)

    def _pool(self, job: job_module.Job) -> frozenset[str]:
        """Return the key of the decode runners that serve a request.

        Models that share runners share their slots. When slots were
        counted by model, two models each took the last slot, and 15% of
        the prefill work was wasted in the bench at 1.2 times the
        capacity. The key is the set of models of a decode runner.
        """
        decode_runner = self._forecast.least_loaded_decode_runner(
            job.item.model
        )
        if decode_runner is None:
            return frozenset({job.item.model})
        return decode_runner.facts.models

    def _count_unreserved(self, job: job_module.Job) -> None:
        if job.unreserved_pool is None:
            job.unreserved_pool = self._pool(job)
            self._unreserved[job.unreserved_pool] += 1

    def _uncount_unreserved(self, job: job_module.Job) -> None:
        if job.unreserved_pool is not None:
            self._unreserved[job.unreserved_pool] -= 1
            job.unreserved_pool = None

    def _serve_awaiting(self, model: str, now_s: float) -> None:
        """Start the transfers of finished prefills, oldest first."""
        state = self._models[model]
        for work_id, job in list(state.awaiting.items()):
            if job.decode_id is not None and not self._has_reservation(job):
                self._release_decode(job)
            if job.decode_id is None:
                target = self._place_decode(job, self._zone(job), now_s)
                if target is None:
                    self._wait_for_slot(job)
                    continue
                self._reserve(job, target)
            del state.awaiting[work_id]
            self._start_transfer(job, now_s)

    def _has_reservation(self, job: job_module.Job) -> bool:
        """Whether the decode runner still counts the reservation.

        A runner that restarts during the prefill keeps its name but
        loses its reservations. A decode sent there without a new one
        would let later requests reserve the same slot and memory.
        """
        state = self._fleet.runners.get(job.decode_id or '')
        return state is not None and job.item.work_id in state.reservations

    def _wait_for_slot(self, job: job_module.Job) -> None:
        self._count_unreserved(job)
        until_s = job.prefill_done_s + self._result_ttl_s - RESULT_MARGIN_S
        heapq.heappush(self._expiries, (until_s, job.item.work_id))

    def _zone(self, job: job_module.Job) -> str:
        source = self._fleet.runners.get(job.prefill_id or '')
        return source.facts.zone if source else job.item.zone

    def _start_transfer(self, job: job_module.Job, now_s: float) -> None:
        assert job.decode_id is not None
        target = self._fleet.runners[job.decode_id]
        link = (self._zone(job), target.facts.zone)
        transfer_bytes = job.prefill_tokens * target.facts.kv_bytes_per_token
        timeout_s = None
        if self._config.uses(Decision.TRANSFER_BUDGET):
            remaining_s = job.prefill_done_s + self._result_ttl_s - now_s
            timeout_s = self._transfers.timeout_s(
                link, transfer_bytes, remaining_s - 2 * RESULT_MARGIN_S
            )
        self._transfers.start(job.item.work_id, link, transfer_bytes, now_s)
        job.transfer_count += 1
        job.phase = Phase.TRANSFER
        self._actions.append(
            action.StartDecode(
                work_id=job.item.work_id,
                runner_id=target.runner_id,
                kv_bytes=job.kv_bytes,
                transfer_timeout_s=timeout_s,
            )
        )

    def _await_decode(self, job: job_module.Job) -> None:
        state = self._model(job.item.model)
        job.phase = Phase.AWAITING
        state.awaiting[job.item.work_id] = job
        self._dirty_models[job.item.model] = None

    def _record_prefill(
        self,
        job: job_module.Job,
        runner_id: str,
        cached_tokens: int,
        now_s: float,
    ) -> None:
        uncached_tokens = max(1, job.prefill_tokens - cached_tokens)
        took_s = now_s - job.prefill_sent_s
        # A prefill that waited behind other work of this host is no
        # sample of the runner's speed: the time to subtract for that
        # work is an estimate and may be too high.
        is_sample = job.own_work_ahead_s == 0.0
        if is_sample:
            self._predictor.record_prefill(runner_id, uncached_tokens, took_s)
        self._prefix_index.record_accuracy(job.expected_cached, cached_tokens)
        self._prefix_index.add(runner_id, job.item.prefix_blocks, now_s)
        state = self._fleet.runners.get(runner_id)
        if state is None or not is_sample:
            return
        expected_s = self._predictor.prefill_s(runner_id, uncached_tokens)
        if took_s > 1.5 * expected_s:
            self._evaluate_ejection(state, now_s)

    def _record_first_token(self, job: job_module.Job, now_s: float) -> None:
        long = job.queue_entry is not None and job.queue_entry.long
        bias = self._model(job.item.model).bias(
            long=long, over_share=job.over_share
        )
        took_s = now_s - job.item.arrived_s
        if job.attempts == 0:
            missed = now_s > job.limit_s
            bias.margin(is_queued=job.predicted_wait_s > 0).record_outcome(
                missed=missed
            )
            self._predictor.error.add(abs(took_s - job.predicted_s))

    def _record_gap(
        self, job: job_module.Job, gap_s: float, now_s: float
    ) -> None:
        state = self._fleet.runners.get(job.decode_id or '')
        if state is None:
            return
        self._predictor.record_gap(state.runner_id, gap_s)
        if gap_s > job.item.token_gap_s:
            self._evaluate_ejection(state, now_s)

    def _evaluate_ejection(
        self, state: runner_state.RunnerState, now_s: float
    ) -> None:
        if not self._config.uses(Decision.EJECTION):
            return
        estimates: typing.Mapping[str, ejection.Estimate] = (
            self._predictor.token_gaps
        )
        if state.facts.role is runner_facts.Role.PREFILL:
            estimates = self._predictor.prefill_s_per_token
        self._ejection.evaluate(
            fleet=self._fleet, state=state, estimates=estimates, now_s=now_s
        )

    def _avoid(
        self, job: job_module.Job, at: stage.Stage, runner_id: str
    ) -> None:
        state = self._fleet.runners.get(runner_id)
        if state is None:
            return
        # A failed transfer may be the fault of the link: the only decode
        # runner of a model is tried once more.
        if at is stage.Stage.TRANSFER:
            if self._fleet.count(state.facts.role, job.item.model) < 2:
                return
        job.failed_runners.add((runner_id, state.facts.incarnation))

    def _retry(self, job: job_module.Job, now_s: float) -> None:
        job.attempts += 1
        if job.delivered_tokens:
            job.limit_s = now_s + RESUME_LIMIT_S
        prefill_s = self._predictor.typical_prefill_s(job.prefill_tokens)
        late = now_s + prefill_s > job.limit_s
        if late:
            self._reject(job, action.Reason.DEADLINE, now_s)
            return
        if not job.delivered_tokens and self._all_runners_failed(job):
            self._reject(job, action.Reason.RETRIES, now_s)
            return
        if self._config.uses(Decision.RETRY_BUDGET):
            if not self._retries.spend(job.attempts):
                self._reject(job, action.Reason.RETRIES, now_s)
                return
        elif job.attempts >= 3 * retry_budget.MAX_ATTEMPTS:
            self._reject(job, action.Reason.RETRIES, now_s)
            return
        self._requeue(job, now_s)

    def _all_runners_failed(self, job: job_module.Job) -> bool:
        """Whether every runner of one role has failed this request."""
        roles = {name: 0 for name in runner_facts.Role}
        for runner_id, incarnation in job.failed_runners:
            state = self._fleet.runners.get(runner_id)
            if state is None or state.facts.incarnation != incarnation:
                continue
            roles[state.facts.role] += 1
        model = job.item.model
        return any(
            count and count >= self._fleet.count(role, model)
            for role, count in roles.items()
        )

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, work_id = heapq.heappop(self._expiries)
            job = self._jobs.get(work_id)
            if job is None:
                continue
            if job.phase in (Phase.QUEUED, Phase.STRANDED):
                self._expire_queued(job, now_s)
                continue
            if job.phase is Phase.AWAITING:
                self._expire_awaiting(job, now_s)

    def _latest_start_s(self, job: job_module.Job) -> float:
        """Return the latest start that may still meet the limit."""
        return job.limit_s - 0.5 * job.service_s

    def _expire_queued(self, job: job_module.Job, now_s: float) -> None:
        latest_s = self._latest_start_s(job)
        if latest_s > now_s:
            heapq.heappush(self._expiries, (latest_s, job.item.work_id))
            return
        self._reject(job, action.Reason.DEADLINE, now_s)

    def _expire_awaiting(self, job: job_module.Job, now_s: float) -> None:
        """Retry a request whose prefill result has expired."""
        until_s = job.prefill_done_s + self._result_ttl_s - RESULT_MARGIN_S
        if until_s > now_s:
            return
        self._release_all(job)
        self._retry(job, now_s)

    def _pause(self, state: runner_state.RunnerState, until_s: float) -> None:
        state.paused_until_s = until_s
        heapq.heappush(self._pause_ends, (until_s, state.runner_id))

    def _resume_paused(self, now_s: float) -> None:
        while self._pause_ends and self._pause_ends[0][0] <= now_s:
            _, runner_id = heapq.heappop(self._pause_ends)
            state = self._fleet.runners.get(runner_id)
            if state is not None:
                self._mark_dirty(state.facts.models)
        wake_s = self._ejection.wake_s
        if wake_s is None or wake_s > now_s:
            return
        for runner_id in self._ejection.readmit(self._fleet, now_s):
            self._predictor.remove_runner(runner_id)
            state = self._fleet.runners.get(runner_id)
            if state is not None:
                self._mark_dirty(state.facts.models)

    def _end_prefill(self, job: job_module.Job) -> None:
        state = self._fleet.runners.get(job.prefill_id or '')
        if state is not None:
            state.end_prefill(job.item.work_id)
            self._fleet.reorder(state)
            self._mark_dirty(state.facts.models)

    def _release_decode(self, job: job_module.Job) -> None:
        state = self._fleet.runners.get(job.decode_id or '')
        job.decode_id = None
        if state is not None:
            state.release(job.item.work_id)
            self._fleet.reorder(state)
            self._mark_dirty(state.facts.models)

    def _release_all(self, job: job_module.Job) -> None:
        """Release everything that is reserved for a request."""
        work_id = job.item.work_id
        self._transfers.abandon(work_id)
        self._end_prefill(job)
        self._release_decode(job)
        self._uncount_unreserved(job)
        state = self._models.get(job.item.model)
        if state is None:
            return
        state.queue.discard(work_id)
        state.stranded.pop(work_id, None)
        state.awaiting.pop(work_id, None)

    def _reject(
        self, job: job_module.Job, reason: action.Reason, now_s: float
    ) -> None:
        """Reject the request and promise its caller a time to retry."""
        state = self._model(job.item.model)
        queued = job.queue_entry
        # A miss caused by a failed runner does not count for the margin:
        # counted, such misses caused rejections long after the runner
        # was back.
        failed = job.attempts > 0 or self._ejection.ejected
        is_queued = queued is not None and job.item.work_id in state.queue
        if is_queued and not failed:
            assert queued is not None
            waited_s = now_s - queued.arrived_s
            bias = state.bias(long=queued.long, over_share=job.over_share)
            bias.record_overdue(job.predicted_wait_s, waited_s)
            bias.margin(is_queued=job.predicted_wait_s > 0).record_outcome(
                missed=True
            )
        retry_after_s = DEFAULT_RETRY_S
        if self._config.uses(Decision.RETRY_PROMISES) and queued is not None:
            retry_after_s = state.retry_promises.promise(
                team=job.item.team,
                key=job.item.key,
                cost_s=queued.cost_s,
                drain_rate=state.drain_rate.value,
                min_wait_s=queued.cost_s / state.drain_rate.value,
                now_s=now_s,
            )
        self._give_up(job, reason, retry_after_s)

    def _give_up(
        self,
        job: job_module.Job,
        reason: action.Reason,
        retry_after_s: float,
    ) -> None:
        self._release_all(job)
        job.phase = Phase.OVER
        self._actions.append(
            action.GiveUp(
                work_id=job.item.work_id,
                reason=reason,
                retry_after_s=retry_after_s,
            )
        )
