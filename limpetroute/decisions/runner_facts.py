"""What a runner says of itself when it announces."""

import dataclasses
import enum


class Role(enum.StrEnum):
    """What a runner does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    SERVICE = 'service'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerFacts:
    """Capabilities of one runner.

    Parameters
    ----------
    runner_id : str
        Name that the runner keeps across heartbeats.
    incarnation : int
        Grows each time the runner starts.
    role : Role
        What it does now.
    zone : str
        Its availability zone.
    models : frozenset of str
        Models it has loaded, as ``name`` or ``name:adapter``.
    slots : int
        Requests it holds at a time.
    kv_capacity_bytes : int
        KV memory it has in all.
    kv_bytes_per_token : int
        KV memory of one token.
    leaving : bool
        Whether it asked for no more work.
    refuses_old_fence : bool
        Whether it refuses an order with an old fencing number.
    """

    runner_id: str
    incarnation: int
    role: Role
    zone: str
    models: frozenset[str]
    slots: int
    kv_capacity_bytes: int
    kv_bytes_per_token: int
    leaving: bool = False
    refuses_old_fence: bool = False
