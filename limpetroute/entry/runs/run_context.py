"""Collaborators that every run uses."""

import dataclasses
import typing

from limpetroute.border import entry_settings
from limpetroute.entry.peering import grants as grants_module
from limpetroute.entry.records import live_record
from limpetroute.entry.runs import run_canceller
from limpetroute.entry.runs import scheduler as scheduler_module
from limpetroute.runners import engine_pool
from limpetroute.telemetry import hops as hops_module
from limpetroute.telemetry import meters as meters_module

CopyRecord = typing.Callable[[live_record.LiveRecord], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunContext:
    """The shared objects of the process that a run uses.

    Parameters
    ----------
    scheduler : Scheduler
        Passes events to the router and the router's actions to the run.
    engines : EnginePool
        Clients of the runners.
    grants : GrantSource
        Grants slots and KV memory of runners.
    canceller : RunCanceller
        Cancels runs at runners.
    meters : Meters
        Metrics.
    hops : Hops
        Creates the trace spans.
    settings : EntrySettings
        Settings with the time limits.
    copy : callable or None
        Copies a record to another host. No event of an answer is
        delivered before the copy has arrived.
    """

    scheduler: scheduler_module.Scheduler
    engines: engine_pool.EnginePool
    grants: grants_module.GrantSource
    canceller: run_canceller.RunCanceller
    meters: meters_module.Meters
    hops: hops_module.Hops
    settings: entry_settings.EntrySettings
    copy: CopyRecord | None = None
