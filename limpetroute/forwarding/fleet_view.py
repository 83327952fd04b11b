"""The routes and runners that this host has received."""

import collections
import json
import logging
import typing

from limpetroute.forwarding import dialect as dialect_module
from limpetroute.routing import config_fragments
from limpetroute.routing import route_plan
from limpetroute.routing import routes_copy
from limpetroute.routing import runner_info
from limpetroute.routing import runner_load

LOG = logging.getLogger(__name__)

# Runners that have left and are remembered; the oldest is dropped first.
MAX_LEFT = 4000
STATE_READY = 'ready'
STATE_GONE = 'gone'


class FleetView:
    """The routes and runners that this host has received.

    The view ignores updates that are not newer than its log index or
    configuration version. A control host that has fallen behind therefore
    cannot restore an old configuration or a runner that has left.

    Parameters
    ----------
    dialect : Dialect
        Decodes routing configurations.
    """

    def __init__(self, *, dialect: dialect_module.Dialect) -> None:
        self._dialect = dialect
        self.index = 0
        self.routes = routes_copy.RoutesCopy()
        self.plan: route_plan.RoutePlan | None = None
        self.loads: dict[str, runner_load.RunnerLoad] = {}
        self.on_plan: typing.Callable[[route_plan.RoutePlan], None] = (
            _ignore_plan
        )
        # Called with a runner as it was before and as it is now, or None
        # if it is gone.
        self.on_runner_changed: typing.Callable[
            [runner_info.RunnerInfo, runner_info.RunnerInfo | None], None
        ] = _ignore_runner
        self._runners: dict[str, runner_info.RunnerInfo] = {}
        # Start times of runners that have left, by identity.
        self._left: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._by_service: dict[str, list[runner_info.RunnerInfo]] = {}

    def __repr__(self) -> str:
        version = self.plan.version if self.plan else 0
        return (
            f'{type(self).__name__}(index={self.index!r}, '
            f'version={version!r}, runners={len(self._runners)!r})'
        )

    def runners(self, service: str) -> list[runner_info.RunnerInfo]:
        """Return a service's runners."""
        return self._by_service.get(service, [])

    def ready_runners(self) -> list[runner_info.RunnerInfo]:
        """Return the ready runners of all services."""
        return [one for one in self._runners.values() if one.ready]

    def runner(self, runner_id: str) -> runner_info.RunnerInfo | None:
        """Return a runner that is not gone."""
        return self._runners.get(runner_id)

    def has_left(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a runner is gone or has restarted since.

        A runner that this view has never received has not left: the leader
        may place streams there before other hosts learn of it.
        """
        known = self._runners.get(runner.runner_id)
        if known is not None:
            return known.started_ms > runner.started_ms
        return self._left.get(runner.runner_id, -1) >= runner.started_ms

    def load(self, runner_id: str) -> runner_load.RunnerLoad:
        """Return the load record of a runner, a new one if necessary."""
        info = self.loads.get(runner_id)
        if info is None:
            info = self.loads[runner_id] = runner_load.RunnerLoad()
        return info

    def apply_runners(self, body: typing.Mapping[str, typing.Any]) -> bool:
        """Apply a control host's runner rows; return whether they are newer.

        Rows up to the log index of this view are ignored.
        """
        index = int(body['index'])
        if index <= self.index:
            return False
        for row in body['runners']:
            self._apply_runner(row)
        self.index = index
        self._by_service = {}
        for runner in self._runners.values():
            self._by_service.setdefault(runner.service, []).append(runner)
        return True

    def prepare(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> None:
        """Decode fragments of a configuration before it is in force."""
        self._dialect.prepare_plan(parts)

    def apply_routes(self, copy: routes_copy.RoutesCopy) -> None:
        """Put a routing configuration in force, unless it is older."""
        if copy.version <= self.routes.version:
            return
        self.plan = self._dialect.read_plan(copy.parts)
        self.routes = copy
        self.on_plan(self.plan)
        LOG.info(
            'routes in force',
            extra={
                'version': copy.version,
                'routes': len(self.plan.routes),
                'digest': copy.digest,
            },
        )

    def _apply_runner(self, row: typing.Mapping[str, typing.Any]) -> None:
        runner_id = row['runner_id']
        detail = json.loads(row['text']) if row['text'] else {}
        if row['state'] == STATE_GONE:
            gone = self._runners.pop(runner_id, None)
            if gone is not None:
                self.on_runner_changed(gone, None)
            self.loads.pop(runner_id, None)
            self._left[runner_id] = detail.get('started_ms', 0)
            self._left.move_to_end(runner_id)
            if len(self._left) > MAX_LEFT:
                self._left.popitem(last=False)
        else:
            previous = self._runners.get(runner_id)
            info = runner_info.from_detail(
                runner_id=runner_id,
                address=row['address'],
                ready=row['state'] == STATE_READY,
                detail=row['text'],
            )
            if previous is not None and previous.started_ms != info.started_ms:
                # The load of the runner before its restart is outdated.
                self.loads.pop(runner_id, None)
            self._runners[runner_id] = info
            if previous is not None:
                self.on_runner_changed(previous, info)
        LOG.info(
            'runner updated',
            extra={
                'runner': runner_id,
                'address': row['address'],
                'state': row['state'],
                'detail': detail,
            },
        )


def _ignore_plan(plan: route_plan.RoutePlan) -> None:
    """Do nothing; the default for `FleetView.on_plan`."""


def _ignore_runner(
    before: runner_info.RunnerInfo, now: runner_info.RunnerInfo | None
) -> None:
    """Do nothing; the default for `FleetView.on_runner_changed`."""
