"""Member of a group."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One replica in the membership of a group.

    Parameters
    ----------
    replica_id : str
        Identity of one disk. A host that lost its disk gets a new
        identity, because the votes of the old one are lost.
    host_id : str
        Host that the disk belongs to.
    voter : bool
        Whether it counts for a quorum; a learner only receives the log.
    """

    replica_id: str
    host_id: str
    voter: bool = True
