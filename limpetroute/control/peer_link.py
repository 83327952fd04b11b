"""The task that sends to one other control host."""

import asyncio
import logging
import typing

from limpetroute.agreement import messages
from limpetroute.border import peer_batch
from limpetroute.control import host_reports
from limpetroute.telemetry import boot_clock
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

MAX_QUEUED = 2000
MAX_SNAPSHOTS_QUEUED = 4
SLOWEST_LINK_BYTES_PER_S = 500_000
# Heartbeats wait behind a batch, so a silent link may hold it up for less
# time than a snapshot, which goes beside them.
SLOWEST_BATCH_BYTES_PER_S = 4_000_000


class PeerLink:
    """The task that sends to one other control host.

    Each batch goes on a connection of its own, with a deadline: a
    connection that something between the hosts has lost track of costs
    one deadline, and the next batch takes a new one. Snapshots go
    beside the small messages, so heartbeats never wait behind one.

    Parameters
    ----------
    url : str
        Address of the other host.
    http : Caller
        Makes the calls.
    make_hello : callable
        Returns a batch without envelopes and reports.
    reports : HostReports
        What was heard of entry hosts. All of it goes with a batch once in
        ``hello_s``, and only changes between: it grows with the hosts, and
        heartbeats are many.
    hello_s : float
        Time between batches when there is nothing else to send.
    timeout_s : float
        Deadline of a small batch; large ones have more.
    """

    def __init__(
        self,
        *,
        url: str,
        http: caller.Caller,
        make_hello: typing.Callable[[], peer_batch.PeerBatch],
        reports: host_reports.HostReports,
        hello_s: float,
        timeout_s: float,
    ) -> None:
        self.url = url
        self.reachable = False
        self._http = http
        self._make_hello = make_hello
        self._reports = reports
        self._reports_due_s = 0.0
        self._reported_changes = 0
        self._hello_s = hello_s
        self._timeout_s = timeout_s
        self._queue: list[peer_batch.EnvelopeBody] = []
        self._snapshots: asyncio.Queue[peer_batch.EnvelopeBody] = (
            asyncio.Queue(MAX_SNAPSHOTS_QUEUED)
        )
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(url={self.url!r})'

    def start(self) -> None:
        """Begin to send."""
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._run_snapshots()),
        ]

    def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()

    def put(self, group: int, envelope: messages.Envelope) -> None:
        """Queue a message; a full queue drops it, as a network may."""
        body = peer_batch.EnvelopeBody.model_construct(
            group=group,
            sender=envelope.sender,
            to=envelope.to,
            message=envelope.message,
        )
        if isinstance(envelope.message, messages.SnapshotRequest):
            if not self._snapshots.full():
                self._snapshots.put_nowait(body)
            return
        if len(self._queue) < MAX_QUEUED:
            self._queue.append(body)
            self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._hello_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            queue, self._queue = self._queue, []
            if not await self._post(queue, SLOWEST_BATCH_BYTES_PER_S):
                # What waited meanwhile is old: the replicas send again.
                self._queue.clear()
                await asyncio.sleep(self._timeout_s / 8)

    async def _run_snapshots(self) -> None:
        while True:
            body = await self._snapshots.get()
            message = body.message
            assert isinstance(message, messages.SnapshotRequest)
            await self._post([body], SLOWEST_LINK_BYTES_PER_S)

    def _hosts(self) -> dict[str, peer_batch.HostReportBody]:
        """Return what the other host is told of entry hosts now."""
        now_s = boot_clock.now_s()
        after_change = self._reported_changes
        if now_s >= self._reports_due_s:
            self._reports_due_s = now_s + self._hello_s
            after_change = -1
        self._reported_changes = self._reports.changes
        return self._reports.bodies(now_s, after_change=after_change)

    async def _post(
        self,
        envelopes: list[peer_batch.EnvelopeBody],
        slowest_bytes_per_s: float,
    ) -> bool:
        """Send a batch; its deadline grows with its size.

        An entry that takes longer than a fixed deadline to send would
        be cut and sent again without end.
        """
        hello = self._make_hello()
        batch = hello.model_copy(
            update={'envelopes': envelopes, 'hosts': self._hosts()}
        )
        data = batch.model_dump_json().encode()
        got = await self._http.call(
            method='POST',
            url=f'{self.url.rstrip("/")}/v1/peer',
            body=data,
            timeout_s=self._timeout_s + len(data) / slowest_bytes_per_s,
        )
        reachable = not isinstance(got, call_failed.CallFailed) and got.ok
        if reachable != self.reachable:
            self.reachable = reachable
            state = 'reachable' if reachable else 'unreachable'
            LOG.info('control host %s %s', self.url, state)
        return reachable
