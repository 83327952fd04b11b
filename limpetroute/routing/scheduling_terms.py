"""Which of the shared decisions are in effect for a service."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulingTerms:
    """Which of the shared decisions are in effect for a service.

    Parameters
    ----------
    is_shared : bool
        Whether the leader decides by the load of all hosts and by what each
        runner does.
    has_ranks : bool
        Whether the streams of the service have different priorities.
    """

    is_shared: bool = False
    has_ranks: bool = False
