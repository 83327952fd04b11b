"""Capabilities that a runner announces."""

import dataclasses
import enum


class Role(enum.StrEnum):
    """Stage that a runner serves."""

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
        Stage that it serves now.
    zone : str
        Its availability zone.
    models : frozenset of str
        Loaded models, as ``name`` or ``name:adapter``.
    slots : int
        Requests that it runs at a time.
    kv_capacity_bytes : int
        Total KV memory.
    kv_bytes_per_token : int
        KV memory of one token.
    leaving : bool
        Whether it is shutting down and takes no new work.
    refuses_old_fence : bool
        Whether it rejects calls with an outdated fencing number.
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
