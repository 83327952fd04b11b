"""Message that hands the grants of a runner to the next lease holder."""

import dataclasses

from limpetroute.peers import grant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """All grants at one runner.

    Parameters
    ----------
    runner_id : str
        The runner.
    from_id : str
        Host that hands over and has stopped granting.
    fence : int
        Fencing number of that host's lease.
    grants : tuple of Grant
        Grants that occupy capacity.
    """

    runner_id: str
    from_id: str
    fence: int
    grants: tuple[grant.Grant, ...]
