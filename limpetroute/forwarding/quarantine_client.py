"""Holds the quarantined requests and reports crashes of runners."""

import asyncio
import collections
import dataclasses
import logging
import typing

from limpetroute.control import control_client
from limpetroute.forwarding import caller_request
from limpetroute.routing import joint_blame
from limpetroute.routing import quarantine
from limpetroute.routing import runner_incarnation
from limpetroute.routing import runner_info
from limpetroute.routing import sound_parts
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# Delay that collects all requests of a crashed runner in one report. Their
# sends break within a few milliseconds of each other.
BATCH_DELAY_S = 0.01
RETRY_DELAY_S = 0.2
CALL_TIMEOUT_S = 1.0
# Retry time of quarantined requests while a trial cannot be requested.
UNREACHABLE_RETRY_AFTER_S = 1.0
# Retry time of requests with several quarantined parts, one of which is
# probably cleared by then.
JOINT_RETRY_AFTER_S = 2.0
MAX_UNREPORTED = 64
HTTP_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Whether a quarantined request may be sent now.

    Parameters
    ----------
    allowed : bool
        Whether the request may be sent once.
    wait_s : float
        Time until the next attempt if it may not.
    """

    allowed: bool
    wait_s: float = 0.0


class QuarantineClient:
    """Holds the quarantined requests and reports crashes of runners.

    A request is quarantined by its fingerprint, or by a part of its prompt.
    Parts of answers that came to their end at this host are sound and
    neither reported nor refused.

    The control log decides which requests are quarantined. Until it has
    decided, and while no leader is reachable, the crashes that this host
    counted apply.

    Parameters
    ----------
    http : Caller
        Makes the calls.
    urls : callable
        Returns the control hosts, the probable leader first.
    """

    def __init__(
        self,
        *,
        http: caller.Caller,
        urls: typing.Callable[[], typing.Sequence[str]],
    ) -> None:
        self._http = http
        self._urls = urls
        self._local = quarantine.Quarantine()
        self._sound_parts = sound_parts.SoundParts()
        self._joint_blame = joint_blame.JointBlame()
        self._fleet_wide: frozenset[str] = frozenset()
        self._refused_until_s: dict[str, float] = {}
        self._unreported: collections.OrderedDict[
            runner_incarnation.RunnerIncarnation, dict[str, bool]
        ] = collections.OrderedDict()
        self._unreported_clears: dict[str, None] = {}
        self._task: asyncio.Task[None] | None = None
        self._failed_requests = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(requests={len(self._fleet_wide)!r})'

    def update(self, fingerprints: typing.Iterable[str]) -> None:
        """Replace the fleet's quarantined requests."""
        received = frozenset(fingerprints)
        added = received - self._fleet_wide
        removed = self._fleet_wide - received
        for fingerprint in removed:
            self._release(fingerprint)
        if added or removed:
            LOG.info(
                'quarantine changed',
                extra={'added': sorted(added), 'removed': sorted(removed)},
            )
        self._fleet_wide = received
        sound = [one for one in added if one in self._sound_parts]
        if sound:
            self._clear(sound)

    def is_quarantined(self, request: caller_request.CallerRequest) -> bool:
        """Return whether a request is quarantined."""
        return bool(self._quarantined_keys(request))

    def wait_s(self, request: caller_request.CallerRequest) -> float:
        """Return how long a quarantined request will still be refused."""
        keys = self._quarantined_keys(request)
        now_s = _now_s()
        if self._joint_blame.wait_s(keys, now_s):
            return JOINT_RETRY_AFTER_S
        until_s = [self._refused_until_s.get(key, 0.0) for key in keys]
        return max(0.0, max(until_s, default=0.0) - now_s)

    def note_crash(
        self,
        request: caller_request.CallerRequest,
        runner: runner_info.RunnerInfo,
        *,
        answer_begun: bool,
    ) -> None:
        """Record and report a request that a crashed runner processed."""
        incarnation = runner.incarnation
        unreported = self._unreported.setdefault(incarnation, {})
        for key in self._blamed_keys(request):
            # A part is at a runner with several requests.
            begun = answer_begun or unreported.get(key, False)
            suspect = quarantine.Suspect(fingerprint=key, answer_begun=begun)
            self._local.note_crash(incarnation, [suspect])
            self._unreported_clears.pop(key, None)
            if len(unreported) < quarantine.MAX_SUSPECTS_PER_CRASH:
                unreported[key] = begun
        while len(self._unreported) > MAX_UNREPORTED:
            self._unreported.popitem(last=False)
        self._start_reporting()

    def note_answered(self, request: caller_request.CallerRequest) -> None:
        """Clear a suspect request that a runner answered completely."""
        self._sound_parts.add(request.part_keys)
        if not self._fleet_wide and not self._local:
            return
        suspects = [
            key
            for key in (request.fingerprint, *request.part_keys)
            if key in self._fleet_wide or self._local.is_suspect(key)
        ]
        if suspects:
            self._clear(suspects)

    async def request_trial(
        self, request: caller_request.CallerRequest
    ) -> Verdict:
        """Ask the control hosts for one send of a quarantined request."""
        wait_s = self.wait_s(request)
        if wait_s:
            return Verdict(allowed=False, wait_s=wait_s)
        if self._unreported:
            # Control hosts that have not received the crashes yet would
            # treat the request as not quarantined.
            return Verdict(allowed=False, wait_s=UNREACHABLE_RETRY_AFTER_S)
        for key in self._quarantined_keys(request):
            trial = await self._request_trial_of(key)
            # A released key leaves the others to be tried.
            if trial is not None:
                return trial
        return Verdict(allowed=True)

    async def _request_trial_of(self, key: str) -> Verdict | None:
        """Return whether there is a trial of a key; None if it is released."""
        reply = await self._call('/v1/quarantine/trial', {'fingerprint': key})
        if reply is None:
            return self._refuse(key, UNREACHABLE_RETRY_AFTER_S)
        outcome = reply.get('outcome')
        if outcome == quarantine.Trial.RELEASED:
            self._release(key)
            return None
        wait_s = float(reply.get('wait_s', UNREACHABLE_RETRY_AFTER_S))
        verdict = self._refuse(key, wait_s)
        if outcome == quarantine.Trial.GRANTED:
            return Verdict(allowed=True)
        return verdict

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def _quarantined_keys(
        self, request: caller_request.CallerRequest
    ) -> tuple[str, ...]:
        """Return the keys by which a request is quarantined."""
        if not self._fleet_wide and not self._local:
            return ()
        return tuple(
            key
            for key in self._blamed_keys(request)
            if key in self._fleet_wide or key in self._local
        )

    def _blamed_keys(
        self, request: caller_request.CallerRequest
    ) -> tuple[str, ...]:
        """Return the keys of a request that may be to blame for a crash."""
        parts = [
            key for key in request.part_keys if key not in self._sound_parts
        ]
        return (request.fingerprint, *parts)

    def _clear(self, keys: typing.Iterable[str]) -> None:
        """Release keys here, and have the control hosts do so."""
        for key in keys:
            self._release(key)
            for unreported in self._unreported.values():
                unreported.pop(key, None)
            if len(self._unreported_clears) < MAX_UNREPORTED:
                self._unreported_clears[key] = None
        self._start_reporting()

    def _release(self, key: str) -> None:
        self._local.clear(key)
        self._refused_until_s.pop(key, None)
        self._joint_blame.forget(key)

    def _refuse(self, fingerprint: str, wait_s: float) -> Verdict:
        """Refuse a request and record for how long."""
        now_s = _now_s()
        for other, until_s in list(self._refused_until_s.items()):
            if until_s <= now_s:
                del self._refused_until_s[other]
        if len(self._refused_until_s) < quarantine.MAX_QUARANTINED_REQUESTS:
            self._refused_until_s[fingerprint] = now_s + wait_s
        return Verdict(allowed=False, wait_s=wait_s)

    def _start_reporting(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._report_all())

    async def _report_all(self) -> None:
        """Report until the control hosts have received everything."""
        await asyncio.sleep(BATCH_DELAY_S)
        while self._unreported or self._unreported_clears:
            if not await self._report_once():
                await asyncio.sleep(RETRY_DELAY_S)

    async def _report_once(self) -> bool:
        if self._unreported:
            sent = {
                incarnation: dict(s)
                for incarnation, s in self._unreported.items()
                if s
            }
            if sent and not await self._report_crashes(sent):
                return False
            for incarnation in list(self._unreported):
                # More suspects of this crash may have been added meanwhile.
                if self._unreported[incarnation] == sent.get(incarnation, {}):
                    del self._unreported[incarnation]
            return True
        fingerprint = next(iter(self._unreported_clears))
        reply = await self._call(
            '/v1/quarantine/clear', {'fingerprint': fingerprint}
        )
        if reply is None:
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
                'runner_id': incarnation.runner_id,
                'started_ms': incarnation.started_ms,
                'suspects': suspects,
            }
            for incarnation, suspects in crashes.items()
        ]
        return await self._call('/v1/crashes', {'crashes': rows}) is not None

    async def _call(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        """Return the response of the control group, None without one."""
        urls = self._urls()
        if not urls:
            return None
        client = control_client.ControlClient(
            urls=urls, http=self._http, attempt_timeout_s=CALL_TIMEOUT_S / 2
        )
        reply = await client.post(
            path=path, body=body, timeout_s=CALL_TIMEOUT_S
        )
        if isinstance(reply, control_client.Answered):
            self._failed_requests = 0
            if reply.status == HTTP_BAD_REQUEST:
                # A retry would be refused as well.
                LOG.error(
                    'control hosts refused a quarantine report',
                    extra={'path': path, 'reason': str(reply.body)[:200]},
                )
            return reply.body
        self._failed_requests += 1
        if self._failed_requests.bit_count() == 1:
            LOG.info(
                'could not reach control hosts for the quarantine',
                extra={
                    'path': path,
                    'reason': reply.reason,
                    'failed_asks': self._failed_requests,
                },
            )
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()
