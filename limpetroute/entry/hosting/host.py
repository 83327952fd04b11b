"""State of one entry process, shared by its HTTP handlers."""

import asyncio
import functools
import hashlib
import logging
import secrets
import time
import typing

from limpetroute.border import announcement
from limpetroute.border import entry_settings
from limpetroute.border import manifest as manifest_module
from limpetroute.border import policy_settings
from limpetroute.control import claim_store
from limpetroute.decisions import full_policy
from limpetroute.decisions import policy_config
from limpetroute.decisions import prefix
from limpetroute.decisions import work
from limpetroute.entry.callers import answer_format
from limpetroute.entry.hosting import host_exports
from limpetroute.entry.manifests import manifest_index as manifest_index_module
from limpetroute.entry.manifests import manifest_watch
from limpetroute.entry.peering import grants as grants_module
from limpetroute.entry.peering import peer_node
from limpetroute.entry.records import live_record
from limpetroute.entry.records import record_store
from limpetroute.entry.records import taken_over_run
from limpetroute.entry.runs import decision_recorder
from limpetroute.entry.runs import latency_targets
from limpetroute.entry.runs import run_canceller
from limpetroute.entry.runs import run_context
from limpetroute.entry.runs import run_request
from limpetroute.entry.runs import run_task
from limpetroute.entry.runs import scheduler as scheduler_module
from limpetroute.entry.services import control_claims
from limpetroute.entry.services import service_dispatcher
from limpetroute.peers import copy_holder
from limpetroute.peers import request_record
from limpetroute.peers import run_end
from limpetroute.runners import directory
from limpetroute.runners import engine_pool
from limpetroute.runners import service_pool
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

TICK_S = 0.25
FREE_TIMEOUT_S = 5.0
CALLERS_POLL_S = 0.02


class Host:
    """State of one entry process.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    """

    def __init__(self, *, settings: entry_settings.EntrySettings) -> None:
        self.settings = settings
        trust = settings.credentials()
        self.http = caller.Caller(tls=trust.client_tls, token=trust.token)
        self.runners = directory.Directory(timeout_s=settings.runner_timeout_s)
        self.engines = engine_pool.EnginePool(
            runners=self.runners, http=self.http
        )
        self._recorder = decision_recorder.DecisionRecorder(settings=settings)
        self.scheduler = scheduler_module.Scheduler(
            policy=self._recorder.wrap(
                full_policy.FullPolicy(config=policy_config.PolicyConfig()),
                'full',
            )
        )
        self.grants: grants_module.GrantSource = grants_module.LocalGrants()
        self.exports = host_exports.build(settings)
        self.meters = self.exports.meters
        self.hops = self.exports.hops
        host_exports.observe(self.exports, self)
        self.claims: claim_store.ClaimStore | None = control_claims.build(
            settings, self.http
        )
        self.drained_runners: set[str] = set()
        self.services = service_dispatcher.ServiceDispatcher(
            host=self,
            host_id=settings.host_id,
            pool=service_pool.ServicePool(
                runners=self.runners,
                http=self.http,
                drained=self.drained_runners,
            ),
            meters=self.meters,
        )
        self.canceller = run_canceller.RunCanceller()
        self.records = record_store.RecordStore(retain_s=settings.retain_s)
        self.manifest: manifest_module.ManifestBody | None = None
        self.draining = False
        # Handlers of requests that are not answered yet.
        self.open_handlers: set[object] = set()
        # Whether another host has copies of the records and continues
        # the runs that are open when this host's drain times out.
        self.hands_over = False
        self.peers: peer_node.PeerNode | None = None
        self._index = manifest_index_module.ManifestIndex(manifest=None)
        self._open: set[live_record.LiveRecord] = set()
        self._ticker: asyncio.Task[None] | None = None
        self.watch = manifest_watch.ManifestWatch(
            settings=settings,
            http=self.http,
            on_manifest=self._set_manifest,
            hosts_ahead=self._hosts_with_newer,
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(host_id={self.settings.host_id!r})'

    @property
    def ready(self) -> bool:
        """Whether this host accepts new requests."""
        if self.draining or self.watch.refuses_work(time.monotonic()):
            return False
        return self.peers is None or self.peers.copies.may_serve

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return len(self._open)

    @property
    def _open_tasks(self) -> set[asyncio.Task[typing.Any]]:
        runs = {live.task for live in self._open if live.task is not None}
        return runs | self.services.tasks

    @property
    def manifest_index(self) -> manifest_index_module.ManifestIndex:
        """Index of the manifest in force.

        After a manifest has changed, the first access rebuilds the index
        and passes the manifest's policy to the scheduler.
        """
        if self._index.manifest is not self.manifest:
            self._index = manifest_index_module.ManifestIndex(
                manifest=self.manifest
            )
            if self.manifest is not None:
                self.scheduler.configure(
                    policy_settings.policy_config_of(self.manifest)
                )
        return self._index

    def knows_model(self, name: str) -> bool:
        """Whether the manifest or a runner names the model.

        A host without a manifest and without runners accepts any name,
        because a runner that serves the model may announce itself later.
        """
        if self.manifest_index.has_model(name):
            return True
        if self.manifest is None and not len(self.runners):
            return True
        return any(name in body.models for body in self.runners.all())

    def join_peers(self, url: str) -> None:
        """Join the group of entry hosts.

        Parameters
        ----------
        url : str
            Address at which the other hosts reach this one, unless the
            settings give one.
        """
        self.peers = peer_node.PeerNode(
            settings=self.settings,
            url=self.settings.peers.url or url,
            http=self.http,
            engines=self.engines,
            records=self.records,
            take_over_record=self._take_over,
            abandon_records=self._abandon,
        )
        self.grants = self.peers.grants
        self.records.on_discard = self.peers.copies.drop_copy
        if self.manifest is not None:
            self.peers.publish_manifest_number(self.manifest.number)
        self.peers.start()

    def start(self) -> None:
        """Start the periodic tasks."""
        self._ticker = asyncio.create_task(self._tick())
        self.watch.start()

    async def drain(self) -> None:
        """Refuse new requests and end the open ones.

        Open requests may complete within ``drain_timeout_s``. The others
        are then handed over to another host if there is one, and are
        cancelled here.
        """
        self.draining = True
        if self.peers is not None:
            self.peers.start_leaving()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.settings.drain_timeout_s
        while self._open_tasks and loop.time() < until_s:
            await asyncio.wait(
                self._open_tasks,
                timeout=until_s - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
        await self._hand_over()
        for live in list(self._open):
            live.handed_over = self.hands_over
            live.cancel(run_task.RESUME_ELSEWHERE)
        tasks = [live.task for live in self._open if live.task is not None]
        free_s = min(FREE_TIMEOUT_S, self.settings.drain_timeout_s)
        if tasks:
            await asyncio.wait(tasks, timeout=free_s)
        await self.canceller.drain(free_s)

    async def wait_for_callers(self) -> None:
        """Wait until all answers and errors are written to the callers.

        Gives up after ``write_stall_s``.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.settings.write_stall_s
        while loop.time() < until_s:
            attached = any(live.attached for live in self.records)
            if not attached and not self.open_handlers:
                return
            await asyncio.sleep(CALLERS_POLL_S)

    async def stop(self) -> None:
        """Leave the group, stop the periodic tasks and close exports."""
        if self._ticker is not None:
            self._ticker.cancel()
        self.watch.stop()
        if self.peers is not None:
            await self.peers.leave()
            self.peers.stop()
        self.scheduler.close()
        self._recorder.close()
        await asyncio.to_thread(self.exports.close)

    def receive_announcement(
        self, body: announcement.AnnouncementBody
    ) -> None:
        """Pass a runner's announcement to all parts that use it."""
        now_s = time.monotonic()
        if body.runner_id in self.drained_runners:
            body = body.model_copy(update={'leaving': True})
        if self.runners.announce(body, now_s):
            LOG.info('runner %s announced as %s', body.runner_id, body.role)
        if self.peers is not None:
            self.peers.announced(body)
        self.scheduler.receive_announcement(body)

    def drain_runner(self, runner_id: str) -> None:
        """Send a runner no new requests, also after it announces again."""
        self.drained_runners.add(runner_id)
        LOG.info('runner %s drained by an operator', runner_id)
        body = self.runners.get(runner_id)
        if body is not None:
            self.receive_announcement(
                body.model_copy(update={'cache_events': []})
            )

    def undrain_runner(self, runner_id: str) -> None:
        """Send a runner requests again after its next announcement."""
        self.drained_runners.discard(runner_id)
        LOG.info('runner %s given work again', runner_id)

    def submit(
        self, request: run_request.RunRequest
    ) -> live_record.LiveRecord:
        """Start a run and return its record."""
        record = request_record.RequestRecord(
            request_id=request.request_id,
            team=request.team,
            key=request.key,
            body_digest=request.body_digest,
            run_id=f'run-{secrets.token_hex(16)}',
        )
        shape = answer_format.AnswerFormat(
            request_id=request.request_id,
            model=request.model,
            chat=request.chat,
        )
        live = live_record.LiveRecord(
            record=record,
            shape=shape,
            include_usage=request.include_usage,
            on_end=self._on_end,
        )
        live.arrived_s = asyncio.get_running_loop().time()
        self.records.add(live)
        self._open.add(live)
        if self.peers is not None:
            self.peers.copies.add_record(live, request)
        task = self._run_task(request, live, 0)
        live.task = asyncio.create_task(task.run())
        return live

    def _run_task(
        self,
        request: run_request.RunRequest,
        live: live_record.LiveRecord,
        prior_attempts: int,
    ) -> run_task.RunTask:
        return run_task.RunTask(
            request=request,
            item=self._work(request, live.arrived_s),
            live=live,
            context=self._run_context(),
            prior_attempts=prior_attempts,
        )

    def _run_context(self) -> run_context.RunContext:
        peers = self.peers
        return run_context.RunContext(
            scheduler=self.scheduler,
            engines=self.engines,
            grants=self.grants,
            canceller=self.canceller,
            meters=self.meters,
            hops=self.hops,
            settings=self.settings,
            copy=None if peers is None else peers.copies.ensure_copied,
        )

    def _take_over(self, copied: copy_holder.CopiedRecord) -> None:
        """Continue a request whose entry host was lost."""
        assert self.peers is not None
        record = copied.restore()
        request = run_request.from_copy(copied.facts)
        live = live_record.LiveRecord(
            record=record,
            shape=answer_format.AnswerFormat(
                request_id=request.request_id,
                model=request.model,
                chat=request.chat,
            ),
            include_usage=request.include_usage,
            on_end=self._on_end,
        )
        live.arrived_s = asyncio.get_running_loop().time()
        self.records.add(live)
        self.peers.copies.add_record(live, request)
        if record.end is not None:
            self.records.note_ended(live, time.monotonic())
            return
        self._open.add(live)
        task = taken_over_run.TakenOverRun(
            request=request,
            live=live,
            context=self._run_context(),
            runner=copied.progress.runner,
            make_task=functools.partial(self._run_task, request, live),
        )
        live.task = asyncio.create_task(task.run())
        live.await_caller(self.settings.resume_grace_s)

    def _abandon(self) -> None:
        """Drop all records, which another host may have taken over."""
        assert self.peers is not None
        for live in self.records:
            self.peers.copies.sender.release(live.record.request_id)
            self.records.discard(live)
            live.handed_over = True
            live.cancel(run_task.TAKEN_OVER)
            live.wake()

    async def _hand_over(self) -> None:
        """Hand the open requests over to this host's successor."""
        if self.peers is None or not self._open:
            return
        copies = self.peers.copies
        await copies.flush()
        self.hands_over = bool(copies.sender.successor_id)
        if not self.hands_over:
            return
        for live in self._open:
            copies.sender.release(live.record.request_id)

    def _set_manifest(self, body: manifest_module.ManifestBody) -> None:
        self.manifest = body
        if self.peers is not None:
            self.peers.publish_manifest_number(body.number)

    def _hosts_with_newer(self, number: int) -> list[str]:
        return (
            []
            if self.peers is None
            else self.peers.urls_with_newer_manifest(number)
        )

    def _work(
        self, request: run_request.RunRequest, now_s: float
    ) -> work.Work:
        prompt = request.prompt.encode()
        targets = latency_targets.current(self.manifest, self.settings)
        return work.Work(
            work_id=request.request_id,
            team=request.team,
            model=request.model,
            prompt_tokens=prefix.estimate_tokens(prompt),
            max_tokens=request.max_tokens,
            arrived_s=now_s,
            first_token_by_s=now_s + targets.first_token_s,
            token_gap_s=targets.token_gap_s,
            prefix_blocks=prefix.prefix_blocks(prompt),
            zone=self.settings.zone,
            returning=request.returning,
            key=_digest(f'{request.team}/{request.key}'),
        )

    def _on_end(self, live: live_record.LiveRecord) -> None:
        self._open.discard(live)
        self.records.note_ended(live, time.monotonic())
        end = live.record.end
        assert end is not None
        if end.kind is run_end.EndKind.NOT_RUN:
            self.meters.refused(end.finish_reason)
        targets = latency_targets.current(self.manifest, self.settings)
        good = targets.measure(live, self.meters)
        self.meters.ended(str(end.kind), good=good)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            self.records.expire(now_s)
            for runner_id in self.runners.expire(now_s):
                LOG.info('runner %s went silent', runner_id)
                self.scheduler.runner_gone(runner_id)
                if self.peers is not None:
                    self.peers.grant_coordinator.remove_runner(runner_id)


def new_request_id() -> str:
    """Return a random request id that cannot be guessed."""
    return f'req-{secrets.token_urlsafe(18)}'


def _digest(text: str) -> str:
    # A recorded trace must not contain a caller's idempotency key.
    return hashlib.sha256(text.encode()).hexdigest()
