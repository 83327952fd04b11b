from limpetroute.entry.peering import peer_copies
from limpetroute.peers import member_claim
from limpetroute.peers import member_status
from limpetroute.peers import member_view


def _view(**changes):
    claim = member_claim.MemberClaim(
        host_id='e1', url='u', zone='z', incarnation=7, **changes
    )
    return member_view.MemberView(
        claims=(claim,), heard_age_s={}, recently_s=1.0
    )


def test_host_that_woke_in_time_has_left_its_old_records_behind():
    """A host is frozen for longer than its lease and wakes.

    Nobody has taken it for dead yet. It has dropped its records, so
    the successor must go on with them though their owner is alive: callers
    were told for 45 s that they are being taken over, and gave up.
    Seeded faults with seed 2 showed it.
    """
    view = _view()
    assert not peer_copies.is_gone('e1@7.0', view, lambda host_id: 0)
    assert peer_copies.is_gone('e1@7.0', view, lambda host_id: 1)
    assert not peer_copies.is_gone('e1@7.1', view, lambda host_id: 1)


def test_dead_restarted_and_forgotten_hosts_are_gone():
    dead = _view(status=member_status.MemberStatus.DEAD)
    assert peer_copies.is_gone('e1@7.0', dead, lambda host_id: 0)
    assert peer_copies.is_gone('e1@6.0', _view(), lambda host_id: 0)
    assert peer_copies.is_gone('e2@7.0', _view(), lambda host_id: 0)
    suspect = _view(status=member_status.MemberStatus.SUSPECT)
    assert not peer_copies.is_gone('e1@7.0', suspect, lambda host_id: 0)
