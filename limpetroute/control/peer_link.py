"""Sends messages to one other control host."""

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
# Heartbeats wait behind a batch, so a batch gets less time than a snapshot,
# which is sent concurrently.
SLOWEST_BATCH_BYTES_PER_S = 4_000_000


class PeerLink:
    """Sends messages to one other control host.

    Each batch is sent on its own connection with a deadline. If a
    connection is dropped silently between the hosts, this costs one
    deadline, and the next batch uses a new connection. Snapshots are sent
    concurrently, so that heartbeats never wait behind one.

    Parameters
    ----------
    url : str
        Address of the other host.
    http : Caller
        Makes the calls.
    make_hello : callable
        Returns a batch without envelopes and reports.
    reports : HostReports
        Reports of the entry hosts. A batch contains all of them once in
        ``hello_s`` and only changes in between, because their size grows
        with the number of hosts and heartbeats are frequent.
    hello_s : float
        Time between batches when there is nothing else to send.
    timeout_s : float
        Timeout of a small batch; it grows with the size of the batch.
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
        """Start sending."""
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._run_snapshots()),
        ]

    def stop(self) -> None:
        """Stop sending."""
        for task in self._tasks:
            task.cancel()

    def put(self, group: int, envelope: messages.Envelope) -> None:
        """Queue a message.

        A full queue drops it, which the replicas tolerate as they do packet
        loss.
        """
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
                # Messages queued meanwhile are out of date, and the replicas
                # send them again.
                self._queue.clear()
                await asyncio.sleep(self._timeout_s / 8)

    async def _run_snapshots(self) -> None:
        while True:
            body = await self._snapshots.get()
            message = body.message
            assert isinstance(message, messages.SnapshotRequest)
            await self._post([body], SLOWEST_LINK_BYTES_PER_S)

    def _hosts(self) -> dict[str, peer_batch.HostReportBody]:
        """Return the entry host reports for the next batch."""
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
        """Send a batch with a timeout that grows with its size.

        With a fixed timeout, an entry that takes longer to send would be
        aborted and sent again without end.
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
