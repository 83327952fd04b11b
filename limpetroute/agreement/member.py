"""One replica as the others know it."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One replica as the others know it.

    Parameters
    ----------
    replica_id : str
        Identity of one disk. A host whose disk was lost comes back
        under a new one: an empty disk has forgotten its votes.
    host_id : str
        The host that carries the disk.
    voter : bool
        Whether it counts for a quorum; a learner only receives.
    """

    replica_id: str
    host_id: str
    voter: bool = True
