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


def test_records_of_a_host_that_lost_its_lease_are_taken_over():
    """A host freezes for longer than its lease and then continues.

    It continues before other hosts consider it dead, and drops its
    records. The successor must take them over although their owner is
    alive. Otherwise each resume was answered for 45 s with the error that
    the request is being taken over, until the callers gave up.
    """
    view = _view()
    assert not peer_copies.is_gone('e1@7.0', view, lambda host_id: 0)
    assert peer_copies.is_gone('e1@7.0', view, lambda host_id: 1)
    assert not peer_copies.is_gone('e1@7.1', view, lambda host_id: 1)


def test_dead_restarted_and_unknown_hosts_are_gone():
    dead = _view(status=member_status.MemberStatus.DEAD)
    assert peer_copies.is_gone('e1@7.0', dead, lambda host_id: 0)
    assert peer_copies.is_gone('e1@6.0', _view(), lambda host_id: 0)
    assert peer_copies.is_gone('e2@7.0', _view(), lambda host_id: 0)
    suspect = _view(status=member_status.MemberStatus.SUSPECT)
    assert not peer_copies.is_gone('e1@7.0', suspect, lambda host_id: 0)
