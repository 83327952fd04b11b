"""What every run works with."""

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

Copy = typing.Callable[[live_record.LiveRecord], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunContext:
    """The shared parts of the process that a run uses.

    Parameters
    ----------
    scheduler : Scheduler
        Decides what happens next.
    engines : EnginePool
        Clients of the runners.
    grants : GrantSource
        Room at the runners.
    canceller : RunCanceller
        Ends runs at runners.
    meters : Meters
        Counts.
    hops : Hops
        Makes the spans.
    settings : EntrySettings
        Time limits.
    copy : callable or None
        Copies a record to another host; the first event waits for it.
    """

    scheduler: scheduler_module.Scheduler
    engines: engine_pool.EnginePool
    grants: grants_module.GrantSource
    canceller: run_canceller.RunCanceller
    meters: meters_module.Meters
    hops: hops_module.Hops
    settings: entry_settings.EntrySettings
    copy: Copy | None = None
