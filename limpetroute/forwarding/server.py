"""The server of a forwarder process."""

import asyncio
import logging
import random
import time
import typing

from limpetroute.border import forwarder_settings
from limpetroute.border import listen_settings
from limpetroute.control import seeds as seeds_module
from limpetroute.forwarding import admin_server
from limpetroute.forwarding import balancing_state
from limpetroute.forwarding import config_freshness
from limpetroute.forwarding import control_watch
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import forward_meters
from limpetroute.forwarding import forwarder as forwarder_module
from limpetroute.forwarding import front_server
from limpetroute.forwarding import leader_channel
from limpetroute.forwarding import peer_client
from limpetroute.forwarding import peer_reporter
from limpetroute.forwarding import plain_slot_client
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import quota_client
from limpetroute.forwarding import rate_limit_client
from limpetroute.forwarding import request_preview
from limpetroute.forwarding import response_monitor
from limpetroute.forwarding import runner_links
from limpetroute.forwarding import scheduler_client
from limpetroute.forwarding import stream_memory
from limpetroute.forwarding import team_gate
from limpetroute.routing import peer_directory
from limpetroute.routing import retry_budget
from limpetroute.routing import route_plan
from limpetroute.telemetry import exports as exports_module
from limpetroute.telemetry import port_meters
from limpetroute.wire import caller
from limpetroute.wire import connection_pool
from limpetroute.wire import drop_reason
from limpetroute.wire import token_guard

LOG = logging.getLogger(__name__)

# The load balancer checks readiness every second and removes a host after
# two failed checks. The rest covers a check that was already under way.
OUT_OF_ROTATION_S = 2.6
# Time before the process would be killed at which open requests are
# aborted, so that the abort can be logged.
ABORT_MARGIN_S = 0.4
# Time before the abort from which no connection is accepted. Callers reach
# another host sooner if they are not answered with a refusal first.
LAST_CONNECTIONS_MARGIN_S = 1.6
POLL_INTERVAL_S = 0.05


class ForwarderServer:
    """The server of a forwarder process.

    Parameters
    ----------
    settings : ForwarderSettings
        Validated settings.
    dialect : Dialect
        Formats of requests and responses.
    ready_path : str
        Path of the load balancer's readiness check.
    read_seeds : callable
        Returns the current seeds of the settings file.
    """

    def __init__(
        self,
        *,
        settings: forwarder_settings.ForwarderSettings,
        dialect: dialect_module.Dialect,
        ready_path: str,
        read_seeds: typing.Callable[[], typing.Sequence[str]],
    ) -> None:
        self.settings = settings
        self._read_seeds = read_seeds
        self._exports = exports_module.Exports(
            host_id=settings.host_id, zone=settings.zone
        )
        self.view = fleet_view.FleetView(dialect=dialect)
        trust = settings.credentials()
        http = caller.Caller(
            tls=trust.client_tls, token=trust.token, unzips=True
        )
        balancing = balancing_state.BalancingState(
            mode=settings.balancing.mode
        )
        meters = forward_meters.ForwardMeters(meter=self._exports.meter)
        self._leader_pool = connection_pool.ConnectionPool(
            max_idle_s=settings.connections.idle_s,
            user_timeout_s=leader_channel.USER_TIMEOUT_S,
            is_enabled=lambda: balancing.is_shared,
            observer=meters.connections_to('leader'),
        )
        self._channel = leader_channel.LeaderChannel(
            http=caller.Caller(
                tls=trust.client_tls,
                token=trust.token,
                unzips=True,
                pool=self._leader_pool,
            )
        )
        self._channel.subscribe(self._drop_leader_connections)
        scheduler = scheduler_client.SchedulerClient(channel=self._channel)
        self._memory = stream_memory.StreamMemory(channel=self._channel)
        quarantine = quarantine_client.QuarantineClient(
            http=http, urls=lambda: self.watch.urls_leader_first()
        )
        self.watch = control_watch.ControlWatch(
            view=self.view,
            http=caller.Caller(
                tls=trust.client_tls, token=trust.token, unzips=True
            ),
            urls=self._control_urls,
            host_id=settings.host_id,
            quarantine=quarantine,
            on_leader=self._channel.follow,
        )
        limits = rate_limit_client.RateLimitClient(
            channel=self._channel,
            view=self.view,
            entry_hosts=lambda: self.watch.entry_hosts,
        )
        self._quotas = quota_client.QuotaClient(
            channel=self._channel,
            host_id=settings.host_id,
            entry_hosts=lambda: self.watch.entry_hosts,
            window=settings.quotas.to_window(),
        )
        teams = team_gate.TeamGate(
            view=self.view,
            freshness=config_freshness.ConfigFreshness(
                channel=self._channel, view=self.view
            ),
        )
        self._peers = peer_client.PeerClient(
            directory=peer_directory.PeerDirectory(
                host_id=settings.host_id,
                zone=settings.zone,
                rng=random.Random(),
            ),
            dialect=dialect,
            trust=trust,
        )
        self._links = runner_links.RunnerLinks(
            view=self.view, rng=random.Random()
        )
        meters = forward_meters.ForwardMeters(meter=self._exports.meter)
        self._context = forward_context.ForwardContext(
            view=self.view,
            watch=self.watch,
            scheduler=scheduler,
            memory=self._memory,
            quarantine=quarantine,
            limits=limits,
            slots=plain_slot_client.PlainSlotClient(
                channel=self._channel,
                host_id=settings.host_id,
                started_ms=round(time.time() * 1000),
            ),
            teams=teams,
            quotas=self._quotas,
            monitor=response_monitor.ResponseMonitor(
                dialect=dialect, view=self.view
            ),
            links=self._links,
            peers=self._peers,
            balancing=balancing,
            dialect=dialect,
            meters=meters,
            zone=settings.zone,
            make_retry_budget=self._make_retry_budget,
            rng=random.Random(),
            max_idle_s=settings.connections.idle_s,
            max_bodies_bytes=settings.max_bodies_bytes,
        )
        self._exports.observe(
            'body_bytes',
            lambda: float(self._context.request_buffers.used_bytes),
        )
        self._exports.observe(
            'received_bytes',
            lambda: float(self._context.received_bytes.used_bytes),
        )
        self.forwarder = forwarder_module.Forwarder(context=self._context)
        observer = port_meters.PortMeters(meter=self._exports.meter)
        self._front = front_server.FrontServer(
            forwarder=self.forwarder,
            dialect=dialect,
            on_closed=self._context.meters.closed_unread,
            observer=observer,
        )
        self._peer_front = front_server.FrontServer(
            forwarder=self.forwarder,
            dialect=dialect,
            guard=token_guard.TokenGuard(tokens=trust.tokens),
            observer=observer,
        )
        self._peer_reporter: peer_reporter.PeerReporter | None = None
        self.view.on_plan = self._apply_caller_limits
        self._admin = admin_server.AdminServer(
            ready_path=ready_path,
            is_ready=self.is_ready,
            metrics=self._exports.text,
            preview=request_preview.RequestPreview(
                context=self._context, channel=self._channel, watch=self.watch
            ).describe,
            memory=self._context.received_bytes,
            observer=observer,
        )
        self._is_stopping = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(view={self.view!r})'

    @property
    def port(self) -> int:
        """Port for callers."""
        return self._front.port

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return not self._is_stopping and self.view.plan is not None

    def start(self) -> None:
        """Open the ports and start to follow the control hosts."""
        settings = self.settings
        self._front.listen(settings.callers.address, settings.callers.port)
        self._admin.listen(settings.ready.address, settings.ready.port)
        self._admin.listen(
            settings.metrics.address, settings.metrics.port, 'metrics'
        )
        if settings.peers is not None:
            self._start_peers(settings.peers)
        self.watch.start()
        LOG.info(
            'started',
            extra={
                'host': settings.host_id,
                'zone': settings.zone,
                'port': self.port,
                'seeds': settings.seeds,
            },
        )

    def _start_peers(self, listen: listen_settings.ListenSettings) -> None:
        """Serve other entry hosts and tell the leader where."""
        self._peer_front.listen(
            listen.address, listen.port, listen.tls_context()
        )
        url = seeds_module.url(
            host=listen.address,
            scheme='https' if listen.tls else 'http',
            port=self._peer_front.port,
        )
        self._peer_reporter = peer_reporter.PeerReporter(
            channel=self._channel,
            directory=self._peers.directory,
            entry_hosts=lambda: self.watch.entry_hosts,
            host=peer_directory.PeerHost(
                host_id=self.settings.host_id,
                zone=self.settings.zone,
                url=url,
            ),
            cores=self.settings.capacity.total_cores,
            balancing=self._context.balancing,
        )
        self._peer_reporter.start()

    async def stop(self) -> None:
        """Leave the balancer's rotation, drain open requests, and stop.

        The load balancer sends callers here until its checks fail, and
        longer if it has too few other hosts, so the port stays open while
        requests are active. Each answer closes its connection, because
        callers would send more requests on a kept connection. After the
        rotation time, this host refuses new streams and plain calls that
        might outlast it. Shortly before the abort it also accepts no
        connections, if a request is still active.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._is_stopping = True
        self.forwarder.is_stopping = True
        if self._peer_reporter is not None:
            self._peer_reporter.stop()
        self._front.closing = True
        LOG.info('stopping', extra={'active': self.forwarder.active})
        await asyncio.sleep(OUT_OF_ROTATION_S)
        abort_s = started_s + self.settings.grace_s - ABORT_MARGIN_S
        self._context.shutdown_s = abort_s
        while self.forwarder.active and loop.time() < abort_s:
            if loop.time() > abort_s - LAST_CONNECTIONS_MARGIN_S:
                self._front.stop_listening()
            await asyncio.sleep(POLL_INTERVAL_S)
        self._front.stop_listening()
        # A request that arrives while connections are closed is refused.
        self._context.shutdown_s = loop.time()
        LOG.info('stopped', extra={'broken_off': self.forwarder.active})
        self.watch.stop()
        self._context.quarantine.stop()
        self._quotas.stop()
        self._memory.stop()
        self._links.stop()
        self._context.connections.close()
        self._leader_pool.close()
        self._peer_front.stop_listening()
        await self._peer_front.close()
        await self._front.close()
        self._admin.close()

    def _apply_caller_limits(self, plan: route_plan.RoutePlan) -> None:
        self._front.apply_limits(plan.limits)
        self._peer_front.apply_limits(plan.limits)

    def _drop_leader_connections(self, before: str) -> None:
        self._leader_pool.drop_all(drop_reason.DropReason.NEW_LEADER)

    def _control_urls(self) -> list[str]:
        hosts = [seeds_module.host_of(seed) for seed in self._read_seeds()]
        return [
            seeds_module.url(
                host=host, scheme='http', port=self.settings.control_port
            )
            for host in hosts
        ]

    def _make_retry_budget(self) -> retry_budget.RetryBudget:
        settings = self.settings.send_budget
        return retry_budget.RetryBudget(
            ratio=settings.ratio,
            slack=settings.slack,
            window_s=settings.window_s,
        )
