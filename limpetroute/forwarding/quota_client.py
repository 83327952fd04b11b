"""Keeps teams within their quotas, together with the leader."""

import asyncio
import logging
import typing

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import leader_channel
from limpetroute.routing import host_quotas
from limpetroute.routing import quota_verdict
from limpetroute.routing import quota_window
from limpetroute.wire import reply as reply_module

LOG = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.4
# Time after which a report that failed is sent again.
RETRY_DELAY_S = 0.3


class QuotaClient:
    """Keeps teams within their quotas, together with the leader.

    The leader charges a stream within the call that asks for its
    placement. Plain requests are charged here without a call, and
    reported to the leader together.

    Parameters
    ----------
    channel : LeaderChannel
        Calls to the leader.
    host_id : str
        Identity of this host.
    entry_hosts : callable
        Returns the number of entry hosts.
    window : QuotaWindow
        Window in which quotas hold.
    """

    def __init__(
        self,
        *,
        channel: leader_channel.LeaderChannel,
        host_id: str,
        entry_hosts: typing.Callable[[], int],
        window: quota_window.QuotaWindow,
    ) -> None:
        self._channel = channel
        self._host_id = host_id
        self._entry_hosts = entry_hosts
        self._quotas = host_quotas.HostQuotas(window=window)
        # Units used under earlier leaders, not yet reported to this one.
        self._history: dict[str, list[tuple[float, float]]] = {}
        self._history_s = 0.0
        self._is_led = False
        self._term: int | None = None
        self._due_s = 0.0
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        channel.subscribe(self._start_term)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(quotas={self._quotas!r})'

    def admit(
        self, request: caller_request.CallerRequest
    ) -> quota_verdict.QuotaVerdict:
        """Charge a plain request to its team, or refuse it."""
        quota = request.quota
        if quota is None:
            return quota_verdict.ALLOWED
        if not self._is_led or self._channel.unavailable is not None:
            return self.admit_locally(request)
        verdict = self._quotas.admit_with_leader(
            request.team, quota, request.quota_cost, _now_s()
        )
        self._schedule_report()
        return verdict

    def admit_locally(
        self, request: caller_request.CallerRequest
    ) -> quota_verdict.QuotaVerdict:
        """Charge a request by this host's share of its team's quota."""
        quota = request.quota
        if quota is None:
            return quota_verdict.ALLOWED
        verdict = self._quotas.admit_without_leader(
            request.team,
            quota,
            request.quota_cost,
            _now_s(),
            max(1, self._entry_hosts()),
        )
        self._schedule_report()
        return verdict

    def note_granted(self, request: caller_request.CallerRequest) -> None:
        """Remember a request that the leader has charged."""
        if request.quota is not None:
            self._quotas.note_granted(
                request.team, request.quota, request.quota_cost, _now_s()
            )

    def note_refused(self, request: caller_request.CallerRequest) -> None:
        """Record that the leader refused a request over the quota."""
        if request.quota is not None:
            self._quotas.note_refused(request.team, request.quota, _now_s())

    def give_back(self, request: caller_request.CallerRequest) -> None:
        """Give back the cost of a request that did not run."""
        if request.quota is None:
            return
        self._quotas.give_back(request.team, request.quota_cost, _now_s())
        self._schedule_report()

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def _start_term(self, before: str) -> None:
        """Collect what was spent under earlier leaders, for a new one."""
        self._is_led = bool(self._channel.url)
        self._term = None
        self._collect_history()
        if self._is_led and self._history:
            self._schedule_report()

    def _collect_history(self) -> None:
        self._history_s = _now_s()
        self._history = self._quotas.take_history(self._history_s)

    def _schedule_report(self) -> None:
        """Send a report as soon as what is unreported demands it."""
        delay_s = self._quotas.report_delay_s(_now_s())
        if self._history:
            delay_s = 0.0
        if delay_s is None:
            return
        due_s = _now_s() + delay_s
        if self._task is None or self._task.done():
            self._due_s = due_s
            self._task = asyncio.create_task(self._report_all())
        elif due_s < self._due_s:
            self._due_s = due_s
            self._wake.set()

    async def _report_all(self) -> None:
        """Report until nothing is left."""
        while True:
            await self._sleep_until_due()
            if not await self._report():
                self._due_s = _now_s() + RETRY_DELAY_S
                continue
            delay_s = self._quotas.report_delay_s(_now_s())
            if delay_s is None and not self._history:
                return
            self._due_s = _now_s() + (delay_s or 0.0)

    async def _sleep_until_due(self) -> None:
        while True:
            self._wake.clear()
            delay_s = self._due_s - _now_s()
            if delay_s <= 0.0:
                return
            try:
                async with asyncio.timeout(delay_s):
                    await self._wake.wait()
            except TimeoutError:
                return

    async def _report(self) -> bool:
        """Send one report; return whether the leader received it."""
        if self._channel.unavailable is not None:
            return False
        url = self._channel.url
        now_s = _now_s()
        history = {
            team: [
                (age_s + now_s - self._history_s, units)
                for age_s, units in ages
            ]
            for team, ages in self._history.items()
        }
        spent = {} if history else self._quotas.take_unreported(now_s)
        reply = await self._channel.call(
            '/v1/quotas',
            {'host_id': self._host_id, 'spent': spent, 'history': history},
            timeout_s=REPORT_TIMEOUT_S,
        )
        if isinstance(reply, leader_channel.LeaderUnavailable):
            reason = reply.reason
        elif reply.ok:
            if url == self._channel.url:
                self._is_led = True
                if history:
                    self._history = {}
            self._apply_reply(reply)
            return True
        else:
            reason = f'status {reply.status}'
        self._quotas.put_back_unreported(spent)
        if self._is_led:
            LOG.info(
                'could not report quotas to the leader',
                extra={'url': url, 'reason': reason, 'teams': len(spent)},
            )
        if url == self._channel.url:
            self._is_led = False
        return False

    def _apply_reply(self, reply: reply_module.Reply) -> None:
        try:
            body = reply.json()
            self._quotas.note_levels(body['levels'], _now_s())
            self._quotas.note_low_teams(body['low'], _now_s())
            term = int(body['term'])
        except (ValueError, KeyError, TypeError) as exc:
            LOG.error(
                'invalid response to a quota report',
                extra={'url': self._channel.url, 'reason': str(exc)},
            )
            return
        if self._term is not None and term != self._term:
            # The same host leads again and has lost what it was told.
            self._collect_history()
        self._term = term


def _now_s() -> float:
    return asyncio.get_running_loop().time()
