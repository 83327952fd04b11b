"""What a host is taken to be by another host."""

import enum


class MemberStatus(enum.StrEnum):
    """Liveness of a host; a later one overrides an earlier one."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}
