"""Kept connections from this host to runners."""

import collections.abc
import dataclasses
import typing

from limpetroute.forwarding import balancing_state
from limpetroute.forwarding import fleet_view
from limpetroute.routing import connection_reuse
from limpetroute.routing import runner_info
from limpetroute.wire import connection_pool
from limpetroute.wire import drop_reason
from limpetroute.wire import pool_observer

DEFAULT_IDLE_S = 2.0
# On a link that drops packets in silence, three lost transmissions in a row.
# Most plain requests have time for another runner then.
USER_TIMEOUT_S = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Naming:
    """Whether a runner names the request in its responses.

    Parameters
    ----------
    started_ms : int
        Start of the runner.
    has_named, has_unnamed : bool
        Whether it has refused requests with and without their id.
    omits_ids : bool
        Whether it has answered a request without its id.
    """

    started_ms: int
    has_named: bool = False
    has_unnamed: bool = False
    omits_ids: bool = False


class RunnerConnections:
    """Kept connections from this host to runners.

    Parameters
    ----------
    view : FleetView
        The known runners and services.
    balancing : BalancingState
        Connections are kept only while load is shared.
    entry_hosts : callable
        Returns the known number of entry hosts.
    observer : PoolObserver
        Counts what happens to the connections.
    max_idle_s : float
        Longest time that a connection is kept; 0 keeps none.
    """

    def __init__(
        self,
        *,
        view: fleet_view.FleetView,
        balancing: balancing_state.BalancingState,
        entry_hosts: typing.Callable[[], int],
        observer: pool_observer.PoolObserver,
        max_idle_s: float = DEFAULT_IDLE_S,
    ) -> None:
        self._view = view
        self._entry_hosts = entry_hosts
        self._pool = connection_pool.ConnectionPool(
            max_idle_s=max_idle_s,
            user_timeout_s=USER_TIMEOUT_S,
            is_enabled=lambda: balancing.leases_plain_slots,
            observer=observer,
        )
        # Whether runners name the request in their responses, by identity,
        # since their start.
        self._naming: dict[str, _Naming] = {}
        view.on_runner_changed = self._drop_changed

    def __repr__(self) -> str:
        return f'{type(self).__name__}(idle={self.idle!r})'

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return self._pool.idle

    def slot(
        self, runner: runner_info.RunnerInfo, *, is_repeatable: bool
    ) -> connection_pool.PoolSlot | None:
        """Return where connections to a runner are kept, or None.

        A request that may be sent once gets a kept connection only if the
        runner names requests in its refusals. Otherwise a refusal could be
        a late one of the request before, and the request would be sent again
        although it runs.
        """
        plan = self._view.plan
        service = plan.service(runner.service) if plan else None
        if service is None or not self.may_keep(runner):
            return None
        max_idle = connection_reuse.max_idle(
            service.max_connections, self._entry_hosts()
        )
        slot = self._pool.slot(_key(runner), max_idle) if max_idle else None
        if slot is None or is_repeatable:
            return slot
        naming = self._naming_of(runner)
        return dataclasses.replace(
            slot, may_take=naming.has_named and not naming.has_unnamed
        )

    def may_keep(self, runner: runner_info.RunnerInfo) -> bool:
        """Return whether a connection to a runner may be kept."""
        if self._naming_of(runner).omits_ids:
            return False
        known = self._view.runner(runner.runner_id)
        if known is None:
            # The leader may know a runner before this host does.
            return not self._view.has_left(runner)
        return known.ready and _key(known) == _key(runner)

    def note_response(
        self,
        runner: runner_info.RunnerInfo,
        *,
        is_refusal: bool,
        is_named: bool,
    ) -> None:
        """Record whether a response of a runner names its request."""
        naming = self._naming_of(runner)
        if is_refusal and is_named:
            naming.has_named = True
        elif is_refusal:
            naming.has_unnamed = True
        elif not is_named:
            naming.omits_ids = True
            self.drop(runner, drop_reason.DropReason.FAILED)
        if self._view.runner(runner.runner_id) is not None:
            self._naming[runner.runner_id] = naming

    def drop(
        self,
        runner: runner_info.RunnerInfo,
        reason: drop_reason.DropReason,
    ) -> None:
        """Close the idle connections to a runner."""
        self._pool.drop(_key(runner), reason)

    def close(self) -> None:
        """Close all idle connections, and keep none from now on."""
        self._pool.close()

    def _naming_of(self, runner: runner_info.RunnerInfo) -> '_Naming':
        known = self._naming.get(runner.runner_id)
        if known is None or known.started_ms != runner.started_ms:
            return _Naming(started_ms=runner.started_ms)
        return known

    def _drop_changed(
        self,
        before: runner_info.RunnerInfo,
        now: runner_info.RunnerInfo | None,
    ) -> None:
        if now is None or before.started_ms != now.started_ms:
            self._naming.pop(before.runner_id, None)
        if now is None or not now.ready or _key(before) != _key(now):
            self.drop(before, drop_reason.DropReason.LEFT)


def _key(runner: runner_info.RunnerInfo) -> collections.abc.Hashable:
    return runner.address, runner.incarnation
