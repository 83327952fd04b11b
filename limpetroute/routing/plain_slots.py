"""Leases the slots of a plain service's runners to requests of all hosts."""

import bisect
import dataclasses
import heapq
import itertools
import math
import typing

from limpetroute.routing import plain_runner_state
from limpetroute.routing import plain_slot_change
from limpetroute.routing import plain_slot_queue
from limpetroute.routing import plain_slot_request
from limpetroute.routing import retry_after
from limpetroute.routing import runner_info
from limpetroute.routing import send_result

MAX_WAITING = 2000
# Time to an answer before there is any. Plain calls take 20 to 100 ms.
DEFAULT_ANSWER_S = 0.06
# Weight of one answer in the mean of the pool.
POOL_WEIGHT = 1 / 32
# Expected times that differ by less are equal, as means of a few answers
# differ by as much.
EQUAL_SHARE = 0.1
# The sum of what the runners serve is computed again after this time.
RATE_VALID_S = 0.05
# Limits of runners are computed again after this time for each runner, or when
# one fails, rejects or answers again. A scan takes 1 us for each runner.
SCAN_VALID_S = 0.0001
MAX_SCAN_VALID_S = 0.1
# A waiting request is refused if its estimated wait exceeds what is left by
# this factor. Estimates vary, and a request that was just admitted would be
# refused for nothing.
CERTAINTY = 0.8
# A free slot is of use for a request with at least this share of the usual
# time left.
USABLE_SHARE = 0.5
# Requests that one pass looks at for a free slot: those ahead may have to
# avoid the only runner that has one.
MAX_PASSED = 32
# Requests that one pass compares with their deadlines.
MAX_CHECKED = 50
# The end of a shortage is reported after this time without a request that
# waits. Near the capacity, some wait for a few milliseconds again and again.
CALM_S = 1.0
# Hosts whose failed connections are remembered.
MAX_CUT_HOSTS = 5000

NO_RUNNER = 'no runner'
NO_SLOT = 'no slot of a plain runner in time'
QUEUE_FULL = 'too many requests wait for slots of plain runners'

Limit = typing.Callable[[runner_info.RunnerInfo], float]
OnChange = typing.Callable[
    [plain_slot_change.PlainSlotChange, typing.Mapping[str, object]], None
]


def announced_slots(runner: runner_info.RunnerInfo) -> float:
    """Return the number of slots that a runner announces."""
    return float(runner.slots)


def _ignore(
    change: plain_slot_change.PlainSlotChange,
    fields: typing.Mapping[str, object],
) -> None:
    """Ignore a change."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _HostSlots:
    started_ms: int
    request_ids: set[str] = dataclasses.field(default_factory=set)


# Not frozen: one is made for each runner in each scan, in half of the time.
@dataclasses.dataclass(kw_only=True, slots=True)
class _Capacity:
    state: plain_runner_state.PlainRunnerState
    # Requests that it processes, and that it may have.
    base: int
    full: int
    has_failed: bool
    is_ejected: bool

    @property
    def is_doubtful(self) -> bool:
        """Whether it should get no request while others may.

        After an ejection it gets one request, whose answer decides.
        """
        return self.has_failed and (self.is_ejected or bool(self.state.slots))


# Whether it is a last choice, the expected time, and the runner.
_Choice = tuple[bool, float, plain_runner_state.PlainRunnerState]


class PlainSlots:
    """Leases the slots of a plain service's runners to requests of all hosts.

    Pattern: many hosts send few requests each to few runners. A host's own
    counts do not show which runner is busy, so hosts would fill one runner
    while another is idle.

    Parameters
    ----------
    limit : callable
        Returns how many requests a runner may have at once.
    on_change : callable
        Called with each change of state and its fields.
    """

    def __init__(
        self,
        *,
        limit: Limit = announced_slots,
        on_change: OnChange = _ignore,
    ) -> None:
        self._limit = limit
        self._on_change = on_change
        self._runners: typing.Sequence[runner_info.RunnerInfo] = ()
        self._states: dict[str, plain_runner_state.PlainRunnerState] = {}
        self._slots: dict[str, plain_runner_state.LeasedSlot] = {}
        self._hosts: dict[str, _HostSlots] = {}
        self._queue = plain_slot_queue.PlainSlotQueue()
        self._expiries: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        self._pool_answer_s = DEFAULT_ANSWER_S
        self._rate_per_s = 0.0
        self._rate_at_s = -math.inf
        self._capacities: list[_Capacity] = []
        self._scanned_s = -math.inf
        self._retry_after = retry_after.RetryAfterEstimator()
        # When refused callers were asked to retry.
        self._promised_s: list[float] = []
        # Runner of each host's last failed connection since its last answer.
        self._cut_hosts: dict[str, str] = {}
        self._is_short = False
        self._waited_at_s = -math.inf

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(slots={len(self._slots)!r}, '
            f'waiting={len(self._queue)!r})'
        )

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return len(self._slots)

    @property
    def pool_answer_s(self) -> float:
        """Mean time to an answer over all runners."""
        return self._pool_answer_s

    def requests_at(self, runner_id: str) -> int:
        """Return the number of requests at a runner."""
        state = self._states.get(runner_id)
        return len(state.slots) if state else 0

    def set_runners(
        self, runners: typing.Sequence[runner_info.RunnerInfo]
    ) -> None:
        """Update the runners; drop what is known of earlier incarnations."""
        if runners is self._runners:
            return
        self._runners = runners
        before = self._states
        self._states = {}
        for info in runners:
            state = before.get(info.runner_id)
            if state is not None and state.info.started_ms == info.started_ms:
                state.info = info
                self._states[info.runner_id] = before.pop(info.runner_id)
            else:
                self._states[info.runner_id] = (
                    plain_runner_state.PlainRunnerState(info=info)
                )
        self._note_capacity_changed()
        for state in before.values():
            for request_id in list(state.slots):
                self._drop_slot(request_id)
            self._on_change(
                plain_slot_change.PlainSlotChange.RUNNER_GONE,
                {'runner': state.info.runner_id, 'slots': len(state.slots)},
            )

    def has_runner(self, request: plain_slot_request.PlainSlotRequest) -> bool:
        """Return whether any runner may get a request."""
        return any(
            state.info.ready and runner_id not in request.avoid
            for runner_id, state in self._states.items()
        )

    def concerns(self, ended: plain_slot_request.PlainSlotReturn) -> bool:
        """Return whether a request or its runner belongs to this service."""
        return (
            ended.request_id in self._slots
            or ended.request_id in self._queue
            or ended.runner_id in self._states
        )

    def request(
        self,
        request: plain_slot_request.PlainSlotRequest,
        now_s: float,
        *,
        is_starting: bool = False,
    ) -> plain_slot_request.PlainSlotAnswer | None:
        """Lease a slot, refuse the request, or return None if it waits.

        Parameters
        ----------
        request : PlainSlotRequest
            The request; `has_runner` is true for it.
        now_s : float
            Monotonic time in seconds.
        is_starting : bool
            Whether the counts are not complete yet. Then nothing waits and
            nothing is refused.
        """
        self._note_host(request)
        self.cancel(request.request_id)
        arrived_s = now_s - request.waited_s
        waiting = plain_slot_queue.WaitingRequest(
            request=request,
            arrived_s=now_s,
            due_s=arrived_s + request.target_s,
            deadline_s=arrived_s + request.patience_s,
        )
        rank = waiting.rank(now_s + self._pool_answer_s)
        self._queue.note_arrival(rank, now_s)
        self._retry_after.note_arrival(now_s)
        if is_starting or not self._queue:
            granted = self._grant(waiting, now_s, beyond_limits=is_starting)
            if granted is not None:
                return granted
        return self._admit(waiting, rank, now_s)

    def cancel(self, request_id: str) -> None:
        """Drop a waiting request and the slot of an earlier one."""
        self._queue.remove(request_id)
        self._drop_slot(request_id)

    def stop_waiting(self, request_id: str) -> None:
        """Drop a waiting request whose host disconnected."""
        self._queue.remove(request_id)

    def end(
        self, ended: plain_slot_request.PlainSlotReturn, now_s: float
    ) -> None:
        """Return a slot and record what its host saw."""
        self._queue.remove(ended.request_id)
        slot = self._drop_slot(ended.request_id)
        if slot is not None:
            self._retry_after.note_release(now_s)
        runner_id = slot.runner_id if slot else ended.runner_id
        state = self._states.get(runner_id)
        if state is None or ended.runner_id != runner_id:
            return
        if ended.result == send_result.SendResult.ANSWERED:
            self._note_answer(state, slot, ended.took_s, now_s)
        elif slot is None:
            # It has expired, and its result is out of date.
            return
        elif plain_runner_state.is_rejection(ended.result):
            self._note_rejected(state, slot, now_s)
        elif (
            ended.result == send_result.SendResult.FAILED
            and not state.note_error(ended.took_s, now_s)
        ):
            return
        elif plain_runner_state.is_failure(ended.result):
            self._note_failure(state, slot, ended.result, now_s)
        elif ended.result in (
            send_result.SendResult.TIMED_OUT,
            plain_slot_request.SlotEnd.CUT,
        ):
            state.note_given_up(ended.took_s, now_s)

    def serve(self, now_s: float) -> list[plain_slot_request.PlainSlotAnswer]:
        """Lease free slots to waiting requests."""
        answers: list[plain_slot_request.PlainSlotAnswer] = []
        if not self._queue:
            return answers
        self._queue.demote_late(now_s + self._pool_answer_s)
        usable_s = USABLE_SHARE * self._pool_answer_s
        while self._queue:
            waiting = self._next(self._with_room(now_s))
            if waiting is None:
                break
            answer: plain_slot_request.PlainSlotAnswer | None
            if now_s + usable_s > waiting.deadline_s:
                answer = self._refuse(waiting, 0.0, NO_SLOT, now_s)
            else:
                answer = self._grant(waiting, now_s)
                if answer is None:
                    break
                self._queue.note_taken()
            self._queue.remove(answer.request_id)
            answers.append(answer)
        self._note_shortage(now_s)
        return answers

    def _next(
        self, with_room: typing.Sequence[str]
    ) -> plain_slot_queue.WaitingRequest | None:
        """Return the next request that any of some runners may get."""
        if not with_room:
            return None
        for waiting in itertools.islice(self._queue.in_order(), MAX_PASSED):
            if not waiting.request.avoid.issuperset(with_room):
                return waiting
        return None

    def tick(self, now_s: float) -> list[plain_slot_request.PlainSlotAnswer]:
        """End expired slots, and decide on requests that wait."""
        self._expire(now_s)
        answers = self.serve(now_s)
        checked = itertools.islice(self._queue.from_last(), MAX_CHECKED)
        for waiting, rank in list(checked):
            if not self.has_runner(waiting.request):
                self._queue.remove(waiting.request.request_id)
                answers.append(self._refuse(waiting, 0.0, NO_RUNNER, now_s))
                continue
            wait_s = self._wait_s(waiting, rank, now_s)
            answer_at_s = now_s + CERTAINTY * wait_s + self._pool_answer_s
            if answer_at_s > waiting.deadline_s:
                self._queue.remove(waiting.request.request_id)
                answers.append(self._refuse(waiting, wait_s, NO_SLOT, now_s))
        self._note_shortage(now_s)
        return answers

    def _admit(
        self,
        waiting: plain_slot_queue.WaitingRequest,
        rank: plain_slot_queue.Rank,
        now_s: float,
    ) -> plain_slot_request.PlainSlotRefusal | None:
        """Add a request to the queue, or refuse it."""
        wait_s = self._wait_s(waiting, rank, now_s)
        expected = waiting.rank(now_s + wait_s + self._pool_answer_s)
        if expected != rank:
            wait_s = self._wait_s(waiting, expected, now_s)
        if now_s + wait_s + self._pool_answer_s > waiting.deadline_s:
            return self._refuse(waiting, wait_s, NO_SLOT, now_s)
        if len(self._queue) >= MAX_WAITING:
            return self._refuse(waiting, wait_s, QUEUE_FULL, now_s)
        self._queue.add(waiting, expected)
        self._note_shortage(now_s)
        return None

    def _wait_s(
        self,
        waiting: plain_slot_queue.WaitingRequest,
        rank: plain_slot_queue.Rank,
        now_s: float,
    ) -> float:
        if waiting.request.avoid:
            rate_per_s = self._sum_rate(waiting.request, now_s)
        else:
            if now_s - self._rate_at_s > RATE_VALID_S:
                self._rate_per_s = self._sum_rate(waiting.request, now_s)
                self._rate_at_s = now_s
            rate_per_s = self._rate_per_s
        return self._queue.wait_s(
            rank, waiting.due_s, rate_per_s=rate_per_s, now_s=now_s
        )

    def _sum_rate(
        self, request: plain_slot_request.PlainSlotRequest, now_s: float
    ) -> float:
        """Return how many requests a second the runners serve."""
        usable_per_s = 0.0
        others_per_s = 0.0
        for capacity in self._scan(now_s):
            state = capacity.state
            if state.info.runner_id in request.avoid:
                continue
            rate_per_s = capacity.full / state.answer_s(self._pool_answer_s)
            if capacity.is_ejected:
                others_per_s += rate_per_s
            else:
                usable_per_s += rate_per_s
        # A runner that is lost while requests wait serves none.
        return usable_per_s or others_per_s or 1.0 / self._pool_answer_s

    def _with_room(self, now_s: float) -> list[str]:
        """Return the runners that may get another request."""
        healthy = []
        failing = []
        has_healthy = False
        for capacity in self._scan(now_s):
            state = capacity.state
            has_room = len(state.slots) < capacity.full
            if not capacity.is_doubtful:
                has_healthy = True
                if has_room:
                    healthy.append(state.info.runner_id)
            elif has_room:
                failing.append(state.info.runner_id)
        return healthy if has_healthy else failing

    def _scan(self, now_s: float) -> list[_Capacity]:
        """Return the limits of the ready runners."""
        valid_s = min(MAX_SCAN_VALID_S, SCAN_VALID_S * len(self._states))
        if 0.0 <= now_s - self._scanned_s <= valid_s:
            return self._capacities
        pool_s = self._pool_answer_s
        found = []
        for state in self._states.values():
            if not state.info.ready:
                continue
            base = state.base_limit(self._limit(state.info), now_s)
            found.append(
                _Capacity(
                    state=state,
                    base=base,
                    full=state.full_limit(base, pool_s),
                    has_failed=state.has_failed_last,
                    is_ejected=state.is_ejected(now_s),
                )
            )
        self._capacities = found
        self._scanned_s = now_s
        return found

    def _note_capacity_changed(self) -> None:
        """Have limits and the sum of what runners serve computed again."""
        self._scanned_s = -math.inf
        self._rate_at_s = -math.inf

    def _grant(
        self,
        waiting: plain_slot_queue.WaitingRequest,
        now_s: float,
        *,
        beyond_limits: bool = False,
    ) -> plain_slot_request.PlainSlotGrant | None:
        request = waiting.request
        state = self._choose(request, now_s, beyond_limits=beyond_limits)
        if state is None:
            return None
        latest_s = max(waiting.deadline_s, now_s)
        slot = plain_runner_state.LeasedSlot(
            request_id=request.request_id,
            runner_id=state.info.runner_id,
            host_id=request.host_id,
            host_started_ms=request.host_started_ms,
            granted_s=now_s,
            expires_s=min(
                now_s + state.expiry_s(self._pool_answer_s), latest_s
            ),
            beside=len(state.slots) + 1,
        )
        state.slots[slot.request_id] = slot
        self._slots[slot.request_id] = slot
        host = self._hosts.setdefault(
            slot.host_id, _HostSlots(started_ms=slot.host_started_ms)
        )
        host.request_ids.add(slot.request_id)
        heapq.heappush(
            self._expiries,
            (slot.expires_s, next(self._numbers), slot.request_id),
        )
        return plain_slot_request.PlainSlotGrant(
            request_id=slot.request_id,
            runner_id=slot.runner_id,
            queued_s=now_s - waiting.arrived_s,
        )

    def _choose(
        self,
        request: plain_slot_request.PlainSlotRequest,
        now_s: float,
        *,
        beyond_limits: bool,
    ) -> plain_runner_state.PlainRunnerState | None:
        """Return the runner for a request.

        A runner that has failed last gets one request at a time, and one
        that may run once only if no other runner has a slot. It gets others
        only if all runners are in this state.
        """
        pool_s = self._pool_answer_s
        avoid = request.avoid
        found: list[_Choice] = []
        failing = []
        has_healthy = False
        for capacity in self._scan(now_s):
            state = capacity.state
            if state.info.runner_id in avoid:
                continue
            if capacity.is_doubtful:
                failing.append(capacity)
                continue
            has_healthy = True
            if beyond_limits or len(state.slots) < capacity.full:
                expected_s = state.expected_s(capacity.base, pool_s, now_s)
                is_last = capacity.has_failed and not request.may_repeat
                found.append((is_last, expected_s, state))
        if not has_healthy:
            found = [
                (
                    one.is_ejected,
                    one.state.expected_s(one.base, pool_s, now_s),
                    one.state,
                )
                for one in failing
                if beyond_limits or len(one.state.slots) < one.full
            ]
        if not found:
            return None
        least = min(found, key=_expected)
        most_s = least[1] * (1.0 + EQUAL_SHARE)
        for entry in found:
            is_equal = entry[0] == least[0] and entry[1] <= most_s
            if is_equal and _is_better(entry, least, request.zone):
                least = entry
        return least[2]

    def _refuse(
        self,
        waiting: plain_slot_queue.WaitingRequest,
        wait_s: float,
        reason: str,
        now_s: float,
    ) -> plain_slot_request.PlainSlotRefusal:
        del self._promised_s[: bisect.bisect(self._promised_s, now_s)]
        retry_after_s = self._retry_after.retry_after_s(
            slot_wait_s=wait_s,
            expected_returns=len(self._promised_s),
            remaining_s=waiting.deadline_s - now_s,
            now_s=now_s,
        )
        if len(self._promised_s) < MAX_WAITING:
            bisect.insort(self._promised_s, now_s + retry_after_s)
        return plain_slot_request.PlainSlotRefusal(
            request_id=waiting.request.request_id,
            retry_after_s=retry_after_s,
            reason=reason,
        )

    def _note_host(self, request: plain_slot_request.PlainSlotRequest) -> None:
        """End the slots of an earlier incarnation of a host."""
        host = self._hosts.get(request.host_id)
        if host is None or host.started_ms >= request.host_started_ms:
            return
        request_ids = list(host.request_ids)
        for request_id in request_ids:
            self._drop_slot(request_id)
        self._on_change(
            plain_slot_change.PlainSlotChange.HOST_RESTARTED,
            {'host': request.host_id, 'slots': len(request_ids)},
        )

    def _drop_slot(
        self, request_id: str
    ) -> plain_runner_state.LeasedSlot | None:
        slot = self._slots.pop(request_id, None)
        if slot is None:
            return None
        state = self._states.get(slot.runner_id)
        if state is not None:
            state.slots.pop(request_id, None)
        host = self._hosts[slot.host_id]
        host.request_ids.discard(request_id)
        if not host.request_ids:
            del self._hosts[slot.host_id]
        return slot

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, _, request_id = heapq.heappop(self._expiries)
            slot = self._slots.get(request_id)
            if slot is None or slot.expires_s > now_s:
                continue
            self._drop_slot(request_id)
            state = self._states.get(slot.runner_id)
            if state is not None:
                state.note_expired(slot, now_s)
            self._on_change(
                plain_slot_change.PlainSlotChange.EXPIRED,
                {
                    'request': request_id,
                    'runner': slot.runner_id,
                    'host': slot.host_id,
                    'held_ms': round((now_s - slot.granted_s) * 1000),
                },
            )

    def _note_answer(
        self,
        state: plain_runner_state.PlainRunnerState,
        slot: plain_runner_state.LeasedSlot | None,
        took_s: float,
        now_s: float,
    ) -> None:
        self._pool_answer_s += (took_s - self._pool_answer_s) * POOL_WEIGHT
        if slot is None:
            state.note_time(took_s, now_s)
            return
        self._cut_hosts.pop(slot.host_id, None)
        if state.note_answer(slot, took_s, now_s):
            self._note_capacity_changed()
            self._on_change(
                plain_slot_change.PlainSlotChange.ANSWERS_AGAIN,
                {'runner': state.info.runner_id},
            )

    def _note_rejected(
        self,
        state: plain_runner_state.PlainRunnerState,
        slot: plain_runner_state.LeasedSlot,
        now_s: float,
    ) -> None:
        limit = state.note_rejected(slot, now_s)
        if limit is None:
            return
        self._note_capacity_changed()
        self._on_change(
            plain_slot_change.PlainSlotChange.LIMIT_LOWERED,
            {
                'runner': state.info.runner_id,
                'limit': limit,
                'slots': state.info.slots,
                'beside': slot.beside,
            },
        )

    def _note_failure(
        self,
        state: plain_runner_state.PlainRunnerState,
        slot: plain_runner_state.LeasedSlot,
        result: str,
        now_s: float,
    ) -> None:
        runner_id = state.info.runner_id
        if result == send_result.SendResult.NOT_SENT:
            # A host that has lost its links fails to connect to all runners.
            if len(self._cut_hosts) >= MAX_CUT_HOSTS:
                self._cut_hosts.clear()
            before = self._cut_hosts.get(slot.host_id, runner_id)
            self._cut_hosts[slot.host_id] = runner_id
            if before != runner_id:
                return
        if not state.note_failure(slot, now_s):
            return
        self._note_capacity_changed()
        self._on_change(
            plain_slot_change.PlainSlotChange.EJECTED,
            {
                'runner': runner_id,
                'result': result,
                'failures': state.failures,
                'host': slot.host_id,
            },
        )

    def _note_shortage(self, now_s: float) -> None:
        """Report when requests begin to wait, and when none waits any more."""
        is_short = bool(self._queue)
        if is_short:
            self._waited_at_s = now_s
        if is_short == self._is_short or now_s - self._waited_at_s < (
            0.0 if is_short else CALM_S
        ):
            return
        self._is_short = is_short
        change = plain_slot_change.PlainSlotChange.SHORTAGE
        if not is_short:
            change = plain_slot_change.PlainSlotChange.SHORTAGE_OVER
        self._on_change(
            change,
            {
                'in_use': len(self._slots),
                'runners': len(self._states),
                'answer_ms': round(self._pool_answer_s * 1000),
            },
        )


def _expected(
    entry: _Choice,
) -> tuple[bool, float]:
    return entry[0], entry[1]


def _is_better(
    entry: _Choice,
    other: _Choice,
    zone: str,
) -> bool:
    """Return whether an equal runner is preferred because of its zone."""
    return (entry[2].info.zone != zone, entry[1]) < (
        other[2].info.zone != zone,
        other[1],
    )
