"""Timings and limits of a group."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timings:
    """Timings and limits of a group, equal on all its replicas.

    Parameters
    ----------
    heartbeat_s : float
        Time between a leader's messages to each member.
    election_s : float
        Election timeout: time without a message from the leader after
        which a replica may start an election. Each replica waits a
        random time between one and two timeouts, so that few start an
        election at once.
    drift : float
        Greatest relative error of a clock's rate.
    max_append_entries : int
        Greatest number of entries in one message.
    max_append_bytes : int
        Greatest size of the entries in one message; a single larger
        entry is sent alone.
    snapshot_timeout_s : float
        Time after which an unanswered snapshot is sent again.
    min_voters : int
        Least number of voters that a removal may leave.
    max_voters : int or None
        Number of voters from which on learners are not promoted, but
        stay ready to replace a voter; None for no limit.
    """

    heartbeat_s: float = 0.25
    election_s: float = 1.0
    drift: float = 0.05
    max_append_entries: int = 512
    max_append_bytes: int = 1 << 20
    snapshot_timeout_s: float = 5.0
    min_voters: int = 2
    max_voters: int | None = None

    def __post_init__(self) -> None:
        if not 0 < self.heartbeat_s * 3 <= self.election_s:
            raise ValueError(
                f'election_s {self.election_s!r} is not at least three '
                f'heartbeats of {self.heartbeat_s!r}'
            )
        if not 0 <= self.drift < 0.25:
            raise ValueError(f'drift {self.drift!r} is not 0 to 0.25')

    @property
    def lease_s(self) -> float:
        """Duration of a leader's lease after a quorum's answer.

        Voters do not elect another leader for ``election_s`` on their
        clocks. A voter's clock may run fast and the leader's slow, each
        by ``drift``, so the lease is shorter by both.
        """
        return self.election_s * (1 - 2 * self.drift)
