"""Leases slots of plain runners from the leading control host."""

import asyncio
import dataclasses
import logging
import random
import typing

from limpetroute.border import errors
from limpetroute.border import plain_slot_bodies
from limpetroute.forwarding import leader_channel
from limpetroute.routing import plain_slot_request
from limpetroute.wire import reply as reply_module

LOG = logging.getLogger(__name__)

# The leader decides within a few milliseconds, or at once responds that the
# request waits. A plain call takes 60 ms and may take about 300 ms.
FIRST_SIGN_S = 0.06
# Time that is kept for a send if the leader stops responding while the
# request waits there.
RESERVE_S = 0.1
# Time by which the leader decides before this host gives up on it. A wait
# that ends here would count as a failure of the leader.
LEADER_RESERVE_S = RESERVE_S + 0.05
RETURN_TIMEOUT_S = 0.5
# After this many failures in a row, the leader is not called for a while, so
# that not every request waits for it. One may be a lost packet.
MAX_FAILURES = 2
UNREACHABLE_S = 0.5
HTTP_NOT_FOUND = 404
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
HTTP_PROCESSING = 102

# Reasons in logs and metrics, of which there must be few.
NO_LEADER = 'no leader'
PAUSED = 'leader not called for now'
EARLIER_RELEASE = 'leader of an earlier release'
NO_RESPONSE = 'no response in time'
NEW_LEADER = 'leader changed'
UNDECIDED = 'leader cannot decide'
INVALID = 'invalid response'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoLease:
    """The leader gave no usable response."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRefused:
    """The request cannot be served in time; it must not be sent."""

    retry_after_s: float
    reason: str


class SlotLease:
    """A slot of a runner that one send may use.

    Parameters
    ----------
    runner_id : str
        The runner.
    waited_s : float
        Time until it was granted.
    on_end : callable
        Called once with the result and the time that the send took.
    """

    def __init__(
        self,
        *,
        runner_id: str,
        waited_s: float,
        on_end: typing.Callable[[str, float], None],
    ) -> None:
        self.runner_id = runner_id
        self.waited_s = waited_s
        self._on_end = on_end
        self._is_ended = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runner_id={self.runner_id!r})'

    def end(self, result: str, took_s: float = 0.0) -> None:
        """Return the slot, unless it has been returned."""
        if not self._is_ended:
            self._is_ended = True
            self._on_end(result, took_s)


class PlainSlotClient:
    """Leases slots of plain runners from the leading control host.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    host_id : str
        This host.
    started_ms : int
        Unix time of the start of this process, which tells the leader that
        a host has lost its requests.
    """

    def __init__(
        self,
        *,
        channel: leader_channel.LeaderChannel,
        host_id: str,
        started_ms: int,
    ) -> None:
        self._channel = channel
        self._host_id = host_id
        self._started_ms = started_ms
        self._failures = 0
        self._paused_until_s = 0.0
        self._is_supported = True
        self._is_usable = True
        self._leader_changed: asyncio.Future[None] | None = None
        channel.subscribe(self._start_term)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host_id={self._host_id!r})'

    def _start_term(self, before: str) -> None:
        """End the waits at an earlier leader."""
        self._failures = 0
        self._paused_until_s = 0.0
        self._is_supported = True
        if self._leader_changed is not None:
            self._leader_changed.set_result(None)
            self._leader_changed = None

    async def lease(
        self, request: plain_slot_request.PlainSlotRequest
    ) -> SlotLease | SlotRefused | NoLease:
        """Lease a slot for one send.

        Returns after at most `FIRST_SIGN_S`, unless the leader responds that
        the request waits.

        Parameters
        ----------
        request : PlainSlotRequest
            The request; its host and its identity are set here.
        """
        now_s = _now_s()
        if not self._is_supported:
            return NoLease(reason=EARLIER_RELEASE)
        if self._channel.unavailable is not None:
            return self._note_unusable(NO_LEADER)
        if now_s < self._paused_until_s:
            return NoLease(reason=PAUSED)
        send_id = plain_slot_bodies.send_id(
            request.request_id, random.getrandbits(32)
        )
        try:
            reply = await self._call(request, send_id)
        except asyncio.CancelledError:
            self._end_unknown(send_id)
            raise
        found = self._read(reply, send_id, now_s)
        if isinstance(found, NoLease) and _may_have_granted(reply):
            self._end_unknown(send_id)
        return found

    async def _call(
        self, request: plain_slot_request.PlainSlotRequest, send_id: str
    ) -> reply_module.Reply | leader_channel.LeaderUnavailable:
        body = plain_slot_bodies.from_request(
            dataclasses.replace(
                request,
                patience_s=max(0.0, request.patience_s - LEADER_RESERVE_S),
                request_id=send_id,
                host_id=self._host_id,
                host_started_ms=self._started_ms,
            )
        )
        remaining_s = request.patience_s - request.waited_s
        if self._leader_changed is None:
            self._leader_changed = asyncio.get_running_loop().create_future()
        changed = self._leader_changed
        task = asyncio.ensure_future(
            self._channel.call(
                '/v1/plain-slots',
                body,
                timeout_s=FIRST_SIGN_S,
                body_timeout_s=max(FIRST_SIGN_S, remaining_s - RESERVE_S),
                connect_tries_s=(FIRST_SIGN_S,),
            )
        )
        try:
            waits: set[asyncio.Future[typing.Any]] = {task, changed}
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            return leader_channel.LeaderUnavailable(reason=NEW_LEADER)
        finally:
            task.cancel()

    def _read(
        self,
        reply: reply_module.Reply | leader_channel.LeaderUnavailable,
        send_id: str,
        started_s: float,
    ) -> SlotLease | SlotRefused | NoLease:
        if isinstance(reply, leader_channel.LeaderUnavailable):
            if reply.reason == NEW_LEADER:
                return NoLease(reason=NEW_LEADER)
            return self._note_failure(NO_RESPONSE)
        if reply.status == HTTP_NOT_FOUND:
            self._is_supported = False
            return self._note_unusable(EARLIER_RELEASE)
        if reply.status == HTTP_MISDIRECTED:
            return self._note_unusable(UNDECIDED)
        found: SlotLease | SlotRefused
        try:
            if reply.status == HTTP_UNAVAILABLE:
                refused = errors.parse(
                    plain_slot_bodies.PlainSlotRefusalBody, reply.body
                )
                found = SlotRefused(
                    retry_after_s=refused.retry_after_s, reason=refused.reason
                )
            elif reply.ok:
                granted = errors.parse(
                    plain_slot_bodies.PlainSlotGrantBody, reply.body
                )
                found = SlotLease(
                    runner_id=granted.runner_id,
                    waited_s=_now_s() - started_s,
                    on_end=lambda result, took_s: self._end(
                        send_id, granted.runner_id, result, took_s
                    ),
                )
            else:
                # Also a connection that ended after the interim response.
                return self._note_failure(INVALID)
        except errors.InvalidInputError:
            return self._note_failure(INVALID)
        self._failures = 0
        if not self._is_usable:
            self._is_usable = True
            LOG.info('the leader leases slots of plain runners again')
        return found

    def _note_failure(self, reason: str) -> NoLease:
        self._failures += 1
        if self._failures >= MAX_FAILURES:
            self._paused_until_s = _now_s() + UNREACHABLE_S
        return self._note_unusable(reason)

    def _note_unusable(self, reason: str) -> NoLease:
        if self._is_usable:
            self._is_usable = False
            LOG.info(
                'plain runners chosen without the leader',
                extra={'url': self._channel.url, 'reason': reason},
            )
        return NoLease(reason=reason)

    def _end_unknown(self, send_id: str) -> None:
        """End the slot that the leader may have granted to a send."""
        self._end(send_id, '', plain_slot_request.SlotEnd.UNUSED.value, 0.0)

    def _end(
        self, send_id: str, runner_id: str, result: str, took_s: float
    ) -> None:
        """Return a slot in the background; a lost return expires."""
        if self._channel.unavailable is None:
            self._channel.run_in_background(
                self._send_end(
                    {
                        'request_id': send_id,
                        'runner_id': runner_id,
                        'result': result,
                        'took_s': round(took_s, 4),
                    }
                )
            )

    async def _send_end(self, body: typing.Mapping[str, object]) -> None:
        reply = await self._channel.call(
            '/v1/plain-slots/end', body, timeout_s=RETURN_TIMEOUT_S
        )
        if isinstance(reply, leader_channel.LeaderUnavailable) or not reply.ok:
            LOG.info(
                'could not return a slot of a plain runner, it will expire',
                extra={'request': body['request_id']},
            )


def _may_have_granted(
    reply: reply_module.Reply | leader_channel.LeaderUnavailable,
) -> bool:
    if isinstance(reply, leader_channel.LeaderUnavailable):
        return reply.sent
    return reply.ok or reply.status == HTTP_PROCESSING


def _now_s() -> float:
    return asyncio.get_running_loop().time()
