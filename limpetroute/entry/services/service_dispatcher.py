"""Dispatches the HTTP handlers' calls to plain services."""

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
    """State of the host that the dispatcher reads at each call."""

    claims: claim_store.ClaimStore | None

    @property
    def ready(self) -> bool:
        """Whether the host accepts new requests."""


class ServiceDispatcher:
    """Makes calls and tracks those in progress.

    Parameters
    ----------
    host : HostState
        Whether new requests are accepted, and the claim store.
    host_id : str
        Id of this host, which holds the claims.
    pool : ServicePool
        Sends calls.
    meters : Meters
        Counts retries.
    """

    __slots__ = ('_host', '_once_calls', '_repeatable_calls', '_tasks', 'pool')

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
        self._once_calls = once_calls.OnceCalls(host_id=host_id, pool=pool)
        self._repeatable_calls = repeatable_calls.RepeatableCalls(
            pool=pool, meters=meters
        )
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(once={self._once_calls!r})'

    @property
    def tasks(self) -> set[asyncio.Task[typing.Any]]:
        """Calls that must end before the process exits."""
        return self._tasks | self._once_calls.tasks

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
        return await self._repeatable_calls.call(call)

    async def once(
        self,
        team: str,
        digest: str,
        call: service_call.ServiceCall,
        *,
        key_is_generated: bool,
    ) -> service_outcome.ServiceOutcome:
        """Make a call that must run at most once."""
        return await self._once_calls.call(
            claims=self._host.claims,
            team=team,
            digest=digest,
            call=call,
            key_is_generated=key_is_generated,
            may_start=self._host.ready,
        )
