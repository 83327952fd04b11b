"""A lease holder's book on its way to the next holder."""

import dataclasses

from limpetroute.peers import grant


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """Everything granted at one runner.

    Parameters
    ----------
    runner_id : str
        The runner.
    from_id : str
        The host that hands over; it grants no more.
    fence : int
        Its fencing number.
    grants : tuple of Grant
        What counts.
    """

    runner_id: str
    from_id: str
    fence: int
    grants: tuple[grant.Grant, ...]
