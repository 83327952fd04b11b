"""Calls of plain services, as the handlers make them."""

import asyncio
import typing

from limpetroute.control import claim_store
from limpetroute.entry.runs import send_guard
from limpetroute.entry.services import once_calls
from limpetroute.entry.services import repeatable_calls
from limpetroute.entry.services import service_outcome
from limpetroute.runners import service_call
from limpetroute.runners import service_pool
from limpetroute.telemetry import meters as meters_module


class HostState(typing.Protocol):
    """What the desk asks its host at each call."""

    claims: claim_store.ClaimStore | None

    @property
    def ready(self) -> bool:
        """Whether new work is taken."""


class ServiceDispatcher:
    """Makes calls, and knows which are in progress.

    Parameters
    ----------
    host : HostState
        Says whether new work is taken, and where claims are made.
    host_id : str
        This host, as holder of claims.
    pool : ServicePool
        Sends calls.
    meters : Meters
        Counts.
    """

    __slots__ = ('_host', '_once', '_repeatable', '_tasks', 'pool')

    def __init__(
        self,
        *,
        host: HostState,
        host_id: str,
        pool: service_pool.ServicePool,
        meters: meters_module.Meters,
    ) -> None:
        self._host = host
        self.pool = pool
        self._once = once_calls.OnceCalls(host_id=host_id, pool=pool)
        self._repeatable = repeatable_calls.RepeatableCalls(
            pool=pool, meters=meters
        )
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(once={self._once!r})'

    @property
    def tasks(self) -> set[asyncio.Task[typing.Any]]:
        """Calls that must end before the process exits."""
        return self._tasks | self._once.tasks

    async def repeatable(
        self, call: service_call.ServiceCall
    ) -> service_outcome.ServiceOutcome:
        """Make a call that may be sent more than once."""
        if not self._host.ready:
            proof = send_guard.SendGuard().not_run_proof()
            assert proof is not None
            return service_outcome.NotRun(proof=proof, reason='draining')
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await self._repeatable.call(call)

    async def once(
        self,
        team: str,
        digest: str,
        call: service_call.ServiceCall,
        *,
        made_key: bool,
    ) -> service_outcome.ServiceOutcome:
        """Make a call that must run at most once."""
        return await self._once.call(
            claims=self._host.claims,
            team=team,
            digest=digest,
            call=call,
            made_key=made_key,
            may_start=self._host.ready,
        )
