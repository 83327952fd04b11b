"""One forwarder process."""

import asyncio
import logging
import random
import typing

from limpetroute.border import forwarder_settings
from limpetroute.control import seeds as seeds_module
from limpetroute.forwarding import admin_server
from limpetroute.forwarding import control_watch
from limpetroute.forwarding import dialect as dialect_module
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import forward_context
from limpetroute.forwarding import forward_meters
from limpetroute.forwarding import forwarder as forwarder_module
from limpetroute.forwarding import front_server
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import rate_limit_client
from limpetroute.forwarding import scheduler_client
from limpetroute.routing import retry_budget
from limpetroute.routing import route_plan
from limpetroute.telemetry import exports as exports_module
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# The balancer asks once a second and takes a host out after two misses;
# a third second covers an answer that was on its way.
OUT_OF_ROTATION_S = 2.6
# What is still open this long before the process would be killed is
# broken off in order, so that the log can say so.
LAST_WORD_S = 0.4
# A plain call has a timeout of 0.8 s today, and callers wait 1.5 s at
# most. What comes later than this before the end might be cut in the
# middle of its run, so it is refused before it is sent.
LAST_CALLS_S = 1.6
LOOK_S = 0.05


class ForwarderServer:
    """One forwarder process.

    Parameters
    ----------
    settings : ForwarderSettings
        Checked settings.
    dialect : Dialect
        How callers and runners are spoken to.
    ready_path : str
        Path at which the balancer asks.
    read_seeds : callable
        Returns the seeds of the settings file as it is now.
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
        http = caller.Caller(tls=trust.client_tls, token=trust.token)
        places = scheduler_client.SchedulerClient(http=http)
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
            on_leader=self._follow,
        )
        self._places = places
        self._limits = rate_limit_client.RateLimitClient(
            http=http,
            view=self.view,
            entry_hosts=lambda: self.watch.entry_hosts,
        )
        self._context = forward_context.ForwardContext(
            view=self.view,
            watch=self.watch,
            scheduler=places,
            quarantine=quarantine,
            limits=self._limits,
            dialect=dialect,
            meters=forward_meters.ForwardMeters(meter=self._exports.meter),
            zone=settings.zone,
            make_budget=self._make_budget,
            rng=random.Random(),
        )
        self.forwarder = forwarder_module.Forwarder(context=self._context)
        self._front = front_server.FrontServer(
            forwarder=self.forwarder, dialect=dialect
        )
        self.view.on_plan = self._apply_limits
        self._side = admin_server.AdminServer(
            ready_path=ready_path,
            is_ready=self.is_ready,
            metrics=self._exports.text,
        )
        self._stopping = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(view={self.view!r})'

    @property
    def port(self) -> int:
        """Port that callers talk to."""
        return self._front.port

    def is_ready(self) -> bool:
        """Return whether this host should be sent callers."""
        return not self._stopping and self.view.plan is not None

    def start(self) -> None:
        """Open the ports and follow the control hosts."""
        settings = self.settings
        self._front.listen(settings.callers.address, settings.callers.port)
        self._side.listen(settings.ready.address, settings.ready.port)
        self._side.listen(settings.metrics.address, settings.metrics.port)
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

    async def stop(self) -> None:
        """Leave the balancer's rotation, finish what is open, and end.

        Callers are sent here until the balancer has noticed, and longer
        where it has too few other hosts: so the port stays open to the
        end. Each answer closes its connection: a kept one would bring
        requests up to the end. Once the balancer has noticed, new streams
        that would outlast this host are sent elsewhere, and plain calls
        shortly before the end, while a stream is still open.
        """
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self._stopping = True
        self._front.closing = True
        LOG.info('stopping', extra={'active': self.forwarder.active})
        await asyncio.sleep(OUT_OF_ROTATION_S)
        last_s = begun_s + self.settings.grace_s - LAST_WORD_S
        self._context.shutdown_s = last_s
        while self.forwarder.active and loop.time() < last_s:
            if loop.time() > last_s - LAST_CALLS_S:
                self._context.accepts_calls = False
                self._front.stop_listening()
            await asyncio.sleep(LOOK_S)
        self._front.stop_listening()
        LOG.info('stopped', extra={'broken_off': self.forwarder.active})
        self.watch.stop()
        self._context.quarantine.stop()
        await self._front.close()
        self._side.close()

    def _follow(self, leader_url: str) -> None:
        self._places.follow(leader_url)
        self._limits.follow(leader_url)

    def _apply_limits(self, plan: route_plan.RoutePlan) -> None:
        self._front.apply_limits(plan.limits)

    def _control_urls(self) -> list[str]:
        hosts = [seeds_module.host_of(seed) for seed in self._read_seeds()]
        return [
            seeds_module.url(
                host=host, scheme='http', port=self.settings.control_port
            )
            for host in hosts
        ]

    def _make_budget(self) -> retry_budget.RetryBudget:
        budget = self.settings.send_budget
        return retry_budget.RetryBudget(
            ratio=budget.ratio, slack=budget.slack, window_s=budget.window_s
        )
