"""What this host knows of quarantined requests; reports crashes."""

import asyncio
import collections
import dataclasses
import logging
import typing

from limpetroute.control import control_client
from limpetroute.forwarding import caller_request
from limpetroute.routing import quarantine
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# All requests that a crashed runner had are reported together: their
# sends break within some milliseconds.
GATHER_S = 0.01
RETRY_S = 0.2
CALL_TIMEOUT_S = 1.0
# What is refused where no control host can be asked whether it may be tried.
UNSURE_WAIT_S = 1.0
MAX_UNREPORTED = 64
HTTP_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Whether a quarantined request may be sent now.

    Parameters
    ----------
    allowed : bool
        Whether it may be sent once.
    wait_s : float
        When to ask again if not.
    """

    allowed: bool
    wait_s: float = 0.0


class QuarantineClient:
    """What this host knows of quarantined requests; reports crashes.

    The control log decides which requests are quarantined. Until it has,
    this host's own count holds, also with no leader in reach.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    urls : callable
        Returns the control hosts, the likeliest leader first.
    """

    def __init__(
        self,
        *,
        http: caller.Caller,
        urls: typing.Callable[[], typing.Sequence[str]],
    ) -> None:
        self._http = http
        self._urls = urls
        self._own = quarantine.Quarantine()
        self._fleet_wide: frozenset[str] = frozenset()
        self._waits_until_s: dict[str, float] = {}
        self._unreported: collections.OrderedDict[
            runner_incarnation.RunnerIncarnation, dict[str, bool]
        ] = collections.OrderedDict()
        self._unreported_clears: dict[str, None] = {}
        self._task: asyncio.Task[None] | None = None
        self._failed_asks = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(requests={len(self._fleet_wide)!r})'

    def update(self, fingerprints: typing.Iterable[str]) -> None:
        """Take the fleet's quarantined requests."""
        received = frozenset(fingerprints)
        removed = self._fleet_wide - received
        for one in removed:
            self._own.clear(one)
            self._waits_until_s.pop(one, None)
        if received != self._fleet_wide:
            LOG.info(
                'quarantine changed',
                extra={
                    'added': sorted(received - self._fleet_wide),
                    'removed': sorted(removed),
                },
            )
        self._fleet_wide = received

    def is_quarantined(self, request: caller_request.CallerRequest) -> bool:
        """Return whether a request is quarantined."""
        if not self._fleet_wide and not self._own:
            return False
        fingerprint = request.fingerprint
        return fingerprint in self._fleet_wide or fingerprint in self._own

    def wait_s(self, request: caller_request.CallerRequest) -> float:
        """Return how long a quarantined request surely may not be sent."""
        until_s = self._waits_until_s.get(request.fingerprint, 0.0)
        return max(0.0, until_s - _now_s())

    def note_crash(
        self,
        request: caller_request.CallerRequest,
        runner: runner_info.RunnerInfo,
        *,
        begun: bool,
    ) -> None:
        """Take note of a request under which a runner crashed."""
        life = runner.incarnation
        fingerprint = request.fingerprint
        suspect = quarantine.Suspect(
            fingerprint=fingerprint, answer_begun=begun
        )
        self._own.note_crash(life, [suspect])
        self._unreported_clears.pop(fingerprint, None)
        unreported = self._unreported.setdefault(life, {})
        if len(unreported) < quarantine.MAX_SUSPECTS_PER_CRASH:
            unreported[fingerprint] = begun
        while len(self._unreported) > MAX_UNREPORTED:
            self._unreported.popitem(last=False)
        self._report()

    def note_answered(self, request: caller_request.CallerRequest) -> None:
        """Take note of a request that a runner answered to the end."""
        if not self._fleet_wide and not self._own:
            return
        fingerprint = request.fingerprint
        known = fingerprint in self._fleet_wide or self._own.is_suspect(
            fingerprint
        )
        if not known:
            return
        self._own.clear(fingerprint)
        self._waits_until_s.pop(fingerprint, None)
        for unreported in self._unreported.values():
            unreported.pop(fingerprint, None)
        if len(self._unreported_clears) < MAX_UNREPORTED:
            self._unreported_clears[fingerprint] = None
        self._report()

    async def request_trial(
        self, request: caller_request.CallerRequest
    ) -> Verdict:
        """Ask whether a quarantined request may be sent once more."""
        fingerprint = request.fingerprint
        wait_s = self.wait_s(request)
        if wait_s:
            return Verdict(allowed=False, wait_s=wait_s)
        if self._unreported:
            # Asked before its crashes are known there, it would pass for
            # one that was never quarantined.
            return Verdict(allowed=False, wait_s=UNSURE_WAIT_S)
        got = await self._call(
            '/v1/quarantine/trial', {'fingerprint': fingerprint}
        )
        if got is None:
            return self._refuse(fingerprint, UNSURE_WAIT_S)
        outcome = got.get('outcome')
        if outcome == quarantine.Trial.RELEASED:
            self._own.clear(fingerprint)
            return Verdict(allowed=True)
        wait_s = float(got.get('wait_s', UNSURE_WAIT_S))
        verdict = self._refuse(fingerprint, wait_s)
        if outcome == quarantine.Trial.GRANTED:
            return Verdict(allowed=True)
        return verdict

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    def _refuse(self, fingerprint: str, wait_s: float) -> Verdict:
        """Note for how long it need not be asked again."""
        now_s = _now_s()
        for one, until_s in list(self._waits_until_s.items()):
            if until_s <= now_s:
                del self._waits_until_s[one]
        if len(self._waits_until_s) < quarantine.MAX_QUARANTINED_REQUESTS:
            self._waits_until_s[fingerprint] = now_s + wait_s
        return Verdict(allowed=False, wait_s=wait_s)

    def _report(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._report_all())

    async def _report_all(self) -> None:
        """Report until the control hosts know everything."""
        await asyncio.sleep(GATHER_S)
        while self._unreported or self._unreported_clears:
            if not await self._report_once():
                await asyncio.sleep(RETRY_S)

    async def _report_once(self) -> bool:
        if self._unreported:
            sent = {life: dict(s) for life, s in self._unreported.items() if s}
            if sent and not await self._report_crashes(sent):
                return False
            for life in list(self._unreported):
                # More of the same crash may have come meanwhile.
                if self._unreported[life] == sent.get(life, {}):
                    del self._unreported[life]
            return True
        fingerprint = next(iter(self._unreported_clears))
        got = await self._call(
            '/v1/quarantine/clear', {'fingerprint': fingerprint}
        )
        if got is None:
            return False
        self._unreported_clears.pop(fingerprint, None)
        return True

    async def _report_crashes(
        self,
        crashes: typing.Mapping[
            runner_incarnation.RunnerIncarnation, typing.Mapping[str, bool]
        ],
    ) -> bool:
        rows = [
            {
                'runner_id': life.runner_id,
                'started_ms': life.started_ms,
                'suspects': suspects,
            }
            for life, suspects in crashes.items()
        ]
        return await self._call('/v1/crashes', {'crashes': rows}) is not None

    async def _call(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        """Return the group's answer, or None if there was none."""
        urls = self._urls()
        if not urls:
            return None
        client = control_client.ControlClient(
            urls=urls, http=self._http, attempt_timeout_s=CALL_TIMEOUT_S / 2
        )
        got = await client.post(path=path, body=body, timeout_s=CALL_TIMEOUT_S)
        if isinstance(got, control_client.Answered):
            self._failed_asks = 0
            if got.status == HTTP_BAD_REQUEST:
                # Sent again, it would be refused again.
                LOG.error(
                    'control hosts refuse a report',
                    extra={'path': path, 'reason': str(got.body)[:200]},
                )
            return got.body
        self._failed_asks += 1
        if self._failed_asks.bit_count() == 1:
            LOG.info(
                'control hosts do not answer for the quarantine',
                extra={
                    'path': path,
                    'reason': got.reason,
                    'failed_asks': self._failed_asks,
                },
            )
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()
