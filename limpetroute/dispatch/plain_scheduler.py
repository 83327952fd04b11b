"""Leases slots of plain runners while this control host leads."""

import asyncio
import collections
import dataclasses
import functools
import logging
import math
import typing

from limpetroute.border import plain_slot_bodies
from limpetroute.control import node as node_module
from limpetroute.routing import plain_pace
from limpetroute.routing import plain_slot_change
from limpetroute.routing import plain_slot_request
from limpetroute.routing import plain_slots
from limpetroute.routing import runner_info
from limpetroute.telemetry import boot_clock

LOG = logging.getLogger(__name__)

# Period in which slots expire and waiting requests are compared with their
# deadlines.
TICK_S = 0.05
# A new leader does not know the requests that were granted before. They end
# within this time, and hosts that have not found it choose by themselves.
RESTORE_PERIOD_S = 0.5
# A request arrives at most this long after its return, as its host has waited
# for an answer before.
GIVEN_UP_VALID_S = 2.0
MAX_GIVEN_UP = 2000

Answer = plain_slot_request.PlainSlotAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    request: plain_slot_request.PlainSlotRequest
    since_s: float
    future: asyncio.Future[Answer | None]


class PlainScheduler:
    """Leases slots of plain runners while this control host leads.

    Parameters
    ----------
    node : Node
        This control host.
    runners : callable
        Returns the runners of a service.
    limit : callable
        Returns how many requests a runner may have at once.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        runners: typing.Callable[
            [str], typing.Sequence[runner_info.RunnerInfo]
        ],
        limit: plain_slots.Limit = plain_slots.announced_slots,
    ) -> None:
        self._node = node
        self._runners = runners
        self._limit = limit
        self._services: dict[str, plain_slots.PlainSlots] = {}
        self._paces: dict[str, plain_pace.PlainPace] = {}
        self._waiting: dict[str, _Waiting] = {}
        # Requests that their hosts gave up before they arrived here, and when.
        self._given_up_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._term = 0
        self._restores_until_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(services={self._services!r})'

    def start(self) -> None:
        """Start to check what expires."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop; requests that wait are left to their hosts."""
        if self._task is not None:
            self._task.cancel()
        self._abandon_waiting()

    @property
    def leads(self) -> bool:
        """Whether this host holds the leader lease, so no other leads."""
        return self._node.config.replica.lease_valid(boot_clock.now_s())

    def request(
        self, request: plain_slot_request.PlainSlotRequest
    ) -> 'Answer | asyncio.Future[Answer | None] | None':
        """Lease a slot or refuse the request, at once or in a future.

        Returns None if this host cannot decide, and so does the future: it
        does not lead, or knows no runner for the request.
        """
        if not self.leads:
            return None
        self._note_term()
        now_s = boot_clock.now_s()
        if self._given_up_s.pop(request.request_id, None) is not None:
            return None
        slots = self._slots(request.service)
        if slots is None or not slots.has_runner(request):
            return None
        self._resolve(slots.serve(now_s))
        answer = slots.request(
            request, now_s, is_starting=now_s < self._restores_until_s
        )
        if answer is not None:
            self._note_grant(request.service, answer)
            self._log_refusal(answer, request, 0.0)
            return answer
        future: asyncio.Future[Answer | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[request.request_id] = _Waiting(
            request=request, since_s=now_s, future=future
        )
        return future

    def stop_waiting(self, service: str, request_id: str) -> None:
        """Drop a request whose host disconnected while it waited."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_result(None)
        slots = self._services.get(service)
        if slots is not None:
            slots.stop_waiting(request_id)

    def end(self, ended: plain_slot_request.PlainSlotReturn) -> None:
        """Return a slot, and lease it to a request that waits."""
        if not self.leads:
            return
        self._note_term()
        now_s = boot_clock.now_s()
        self._note_given_up(ended, now_s)
        for service, slots in self._services.items():
            if slots.concerns(ended):
                slots.end(ended, now_s)
                pace = self._paces[service]
                pace.note_end(
                    ended,
                    usual_s=slots.pool_answer_s,
                    beside=slots.requests_at(ended.runner_id),
                    now_s=now_s,
                )
                _log_pace(service, pace)
                self._resolve(slots.serve(now_s))

    def _note_given_up(
        self, ended: plain_slot_request.PlainSlotReturn, now_s: float
    ) -> None:
        """Remember a request whose return has overtaken it.

        A slot that it got later would be free only after its expiry.
        """
        while self._given_up_s:
            oldest = next(iter(self._given_up_s))
            if now_s - self._given_up_s[oldest] <= GIVEN_UP_VALID_S:
                break
            del self._given_up_s[oldest]
        is_known = any(
            slots.concerns(ended) for slots in self._services.values()
        )
        if (
            ended.result == plain_slot_request.SlotEnd.UNUSED
            and not is_known
            and len(self._given_up_s) < MAX_GIVEN_UP
        ):
            self._given_up_s[ended.request_id] = now_s

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if not self.leads:
                self._abandon_waiting()
                continue
            self._note_term()
            now_s = boot_clock.now_s()
            for service in list(self._services):
                slots = self._slots(service)
                if slots is not None:
                    self._resolve(slots.tick(now_s))

    def _slots(self, service: str) -> plain_slots.PlainSlots | None:
        """Return the slots of a service's present runners."""
        runners = self._runners(service)
        slots = self._services.get(service)
        if slots is None:
            if not runners:
                return None
            pace = self._paces[service] = plain_pace.PlainPace()
            slots = self._services[service] = plain_slots.PlainSlots(
                limit=lambda runner: min(
                    self._limit(runner),
                    pace.limit(runner, boot_clock.now_s()),
                ),
                on_change=functools.partial(_log_change, service),
            )
        slots.set_runners(runners)
        self._paces[service].set_runners(runners, boot_clock.now_s())
        return slots

    def _note_grant(self, service: str, answer: Answer) -> None:
        if isinstance(answer, plain_slot_request.PlainSlotGrant):
            now_s = boot_clock.now_s()
            self._paces[service].note_start(answer.runner_id, now_s)

    def _note_term(self) -> None:
        """Drop the state of an earlier term: hosts did not report since."""
        term = self._node.config.replica.term
        if term == self._term:
            return
        self._term = term
        self._abandon_waiting()
        self._services.clear()
        self._paces.clear()
        self._restores_until_s = boot_clock.now_s() + RESTORE_PERIOD_S
        LOG.info('leasing slots of plain runners', extra={'term': term})

    def _abandon_waiting(self) -> None:
        """Leave the requests that wait to their hosts."""
        for request_id, waiting in self._waiting.items():
            if not waiting.future.done():
                waiting.future.set_result(None)
            slots = self._services.get(waiting.request.service)
            if slots is not None:
                slots.stop_waiting(request_id)
        self._waiting.clear()

    def _cancel(self, request_id: str) -> None:
        for slots in self._services.values():
            slots.cancel(request_id)

    def _resolve(self, answers: typing.Iterable[Answer]) -> None:
        for answer in answers:
            waiting = self._waiting.pop(answer.request_id, None)
            if waiting is None or waiting.future.done():
                # Nobody would return the slot.
                self._cancel(answer.request_id)
                continue
            queued_s = boot_clock.now_s() - waiting.since_s
            self._note_grant(waiting.request.service, answer)
            self._log_refusal(answer, waiting.request, queued_s)
            waiting.future.set_result(answer)

    def _log_refusal(
        self,
        answer: Answer,
        request: plain_slot_request.PlainSlotRequest,
        queued_s: float,
    ) -> None:
        if not isinstance(answer, plain_slot_request.PlainSlotRefusal):
            return
        slots = self._services[request.service]
        LOG.info(
            'plain request refused',
            extra={
                'request': plain_slot_bodies.caller_request_id(
                    request.request_id
                ),
                'service': request.service,
                'host': request.host_id,
                'reason': answer.reason,
                'retry_after_ms': round(answer.retry_after_s * 1000),
                'queued_ms': round(queued_s * 1000),
                'waited_ms': round((request.waited_s + queued_s) * 1000),
                'patience_ms': round(request.patience_s * 1000),
                'priority': request.priority,
                'avoid': sorted(request.avoid),
                'waiting': slots.waiting,
                'in_use': slots.in_use,
                'answer_ms': round(slots.pool_answer_s * 1000),
                'term': self._term,
            },
        )


def _log_change(
    service: str,
    change: plain_slot_change.PlainSlotChange,
    fields: typing.Mapping[str, object],
) -> None:
    extra = {'service': service, **fields}
    send_id = fields.get('request')
    if isinstance(send_id, str):
        extra['request'] = plain_slot_bodies.caller_request_id(send_id)
    match change:
        case plain_slot_change.PlainSlotChange.RUNNER_GONE:
            LOG.info('plain runner left or restarted', extra=extra)
        case plain_slot_change.PlainSlotChange.HOST_RESTARTED:
            LOG.info(
                'entry host restarted, its plain slots are free', extra=extra
            )
        case plain_slot_change.PlainSlotChange.EXPIRED:
            LOG.info('plain slot expired', extra=extra)
        case plain_slot_change.PlainSlotChange.ANSWERS_AGAIN:
            LOG.info('plain runner answers again', extra=extra)
        case plain_slot_change.PlainSlotChange.LIMIT_LOWERED:
            LOG.info('limit of a plain runner lowered', extra=extra)
        case plain_slot_change.PlainSlotChange.EJECTED:
            LOG.info('plain runner ejected', extra=extra)
        case plain_slot_change.PlainSlotChange.SHORTAGE:
            LOG.info('plain requests wait for slots', extra=extra)
        case plain_slot_change.PlainSlotChange.SHORTAGE_OVER:
            LOG.info('no plain request waits any more', extra=extra)


def _log_pace(service: str, pace: plain_pace.PlainPace) -> None:
    for change in pace.take_changes():
        LOG.info(
            'plain runner limited'
            if change.limit < math.inf
            else 'plain runner at full work',
            extra={
                'service': service,
                'runner': change.runner_id,
                'limit': str(round(change.limit, 1)),
                'reason': change.reason,
            },
        )
