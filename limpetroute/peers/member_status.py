"""Liveness of a host as judged by the other hosts."""

import enum


class MemberStatus(enum.StrEnum):
    """Liveness of a host; a later member overrides an earlier one."""

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
