"""Everything one entry process shares between its handlers."""

import asyncio
import hashlib
import logging
import secrets
import time

from limpetroute.border import announcement
from limpetroute.border import entry_settings
from limpetroute.border import manifest as manifest_module
from limpetroute.decisions import full_policy
from limpetroute.decisions import policy_config
from limpetroute.decisions import prefix
from limpetroute.decisions import work
from limpetroute.entry import grants as grants_module
from limpetroute.entry import live_record
from limpetroute.entry import record_store
from limpetroute.entry import run_request
from limpetroute.entry import run_task
from limpetroute.entry import scheduler as scheduler_module
from limpetroute.peers import request_record
from limpetroute.runners import directory
from limpetroute.runners import engine_pool
from limpetroute.telemetry import meters as meters_module
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

TICK_S = 0.25


class Host:
    """State of one entry process.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, *, settings: entry_settings.EntrySettings) -> None:
        self.settings = settings
        self.http = caller.Caller()
        self.runners = directory.Directory(timeout_s=settings.runner_timeout_s)
        self.engines = engine_pool.EnginePool(
            runners=self.runners, http=self.http
        )
        self.scheduler = scheduler_module.Scheduler(
            policy=full_policy.FullPolicy(config=policy_config.PolicyConfig())
        )
        self.grants: grants_module.GrantSource = grants_module.LocalGrants()
        self.meters: meters_module.Meters = meters_module.NullMeters()
        self.records = record_store.RecordStore()
        self.manifest: manifest_module.ManifestBody | None = None
        self.draining = False
        self._ticker: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host_id={self.settings.host_id!r})'

    @property
    def ready(self) -> bool:
        """Whether this host takes new work."""
        return not self.draining

    def start(self) -> None:
        """Start the periodic work."""
        self._ticker = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """Stop the periodic work."""
        if self._ticker is not None:
            self._ticker.cancel()
        self.scheduler.close()

    def announced(self, body: announcement.AnnouncementBody) -> None:
        """Take a runner's announcement."""
        now_s = time.monotonic()
        if self.runners.announce(body, now_s):
            LOG.info('runner %s announced as %s', body.runner_id, body.role)
        self.scheduler.announced(body)

    def submit(
        self, request: run_request.RunRequest
    ) -> live_record.LiveRecord:
        """Start a run and return its record."""
        record = request_record.RequestRecord(
            request_id=request.request_id,
            team=request.team,
            key=request.key,
            body_digest=request.body_digest,
            run_id=f'run-{secrets.token_hex(8)}',
        )
        live = live_record.LiveRecord(record=record)
        self.records.add(live)
        task = run_task.RunTask(
            request=request,
            item=self._work(request),
            live=live,
            scheduler=self.scheduler,
            engines=self.engines,
            grants=self.grants,
            settings=self.settings,
        )
        live.task = asyncio.create_task(task.run())
        return live

    def _work(self, request: run_request.RunRequest) -> work.Work:
        prompt = request.prompt.encode()
        now_s = asyncio.get_running_loop().time()
        return work.Work(
            work_id=request.request_id,
            team=request.team,
            model=request.model,
            prompt_tokens=prefix.estimate_tokens(prompt),
            max_tokens=request.max_tokens,
            arrived_s=now_s,
            first_token_by_s=now_s + self.settings.first_token_s,
            token_gap_s=self.settings.token_gap_s,
            prefix_blocks=prefix.prefix_blocks(prompt),
            zone=self.settings.zone,
            key=request.key,
        )

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for runner_id in self.runners.expire(time.monotonic()):
                LOG.info('runner %s went silent', runner_id)
                self.scheduler.runner_gone(runner_id)


def new_request_id() -> str:
    """Return an id that cannot be guessed."""
    return f'req-{secrets.token_urlsafe(18)}'


def digest(body: bytes) -> str:
    """Return the digest of a body."""
    return hashlib.sha256(body).hexdigest()
