import dataclasses

import pytest

from limpetroute.peers import member_claim
from limpetroute.peers import member_codec
from limpetroute.peers import member_message
from limpetroute.peers import membership_config
from tests.peers import member_net


def _statuses(net, host):
    return {
        net.status(observer, host)
        for observer in net.hosts
        if observer not in net.down and observer != host
    }


def test_hosts_find_each_other_from_three_seeds():
    net = member_net.MemberNet(7)
    net.run(5)
    for host in net.hosts.values():
        assert len(host.view(net.now_s).working) == 7


def test_dead_host_is_suspect_first_and_dead_after():
    """A host loses power without announcing that it leaves.

    The other hosts must not declare it dead after a single unanswered
    probe, but must do so in the end.
    """
    net = member_net.MemberNet(7)
    net.run(10)
    net.down.add('h003')
    seen = []
    for _ in range(200):
        net.run(0.1)
        seen.append(net.status('h000', 'h003'))
    assert seen.index('suspect') < seen.index('dead')
    assert _statuses(net, 'h003') == {'dead'}


def test_one_cut_link_makes_no_host_dead():
    """A switch drops only the packets between two live hosts.

    Probes through a third host must show that both are alive.
    """
    net = member_net.MemberNet(7)
    net.run(10)
    net.part(['h001'], ['h002'])
    for _ in range(300):
        net.run(0.1)
        assert 'dead' not in _statuses(net, 'h001')
        assert 'dead' not in _statuses(net, 'h002')


def test_restarted_host_has_a_new_incarnation():
    net = member_net.MemberNet(7)
    net.run(10)
    net.down.add('h003')
    net.run(1)
    net.start('h003', 7, incarnation=2)
    net.run(10)
    for observer in net.hosts:
        claim = net.hosts[observer].view(net.now_s).find('h003')
        assert claim.incarnation == 2
        assert claim.status == 'alive'


def test_restart_with_a_clock_that_went_back():
    """A host restarts with a clock that is behind its former one.

    Its incarnation is then lower than before. Unless the host raises it,
    the others discard its claims and consider it dead forever.
    """
    net = member_net.MemberNet(7)
    net.run(10)
    net.down.add('h003')
    net.run(15)
    assert _statuses(net, 'h003') == {'dead'}
    net.start('h003', 7, incarnation=0)
    net.run(30)
    assert _statuses(net, 'h003') == {'alive'}


def test_leaving_host_is_not_considered_dead():
    net = member_net.MemberNet(7)
    net.run(10)
    net.hosts['h004'].start_leaving()
    net.run(8)
    for observer in net.hosts:
        claim = net.hosts[observer].view(net.now_s).find('h004')
        assert claim.status == 'alive' and claim.leaving
    net.send('h004', net.hosts['h004'].leave(net.now_s))
    net.run(0.1)
    net.down.add('h004')
    net.run(8)
    assert _statuses(net, 'h004') == {'left'}


def test_partition_heals_after_each_side_declared_the_other_dead():
    net = member_net.MemberNet(7)
    net.run(10)
    names = list(net.hosts)
    net.part(names[:3], names[3:])
    net.run(60)
    assert len(net.hosts['h000'].view(net.now_s).working) == 3
    assert len(net.hosts['h006'].view(net.now_s).working) == 4
    net.cut.clear()
    net.run(40)
    for host in net.hosts.values():
        assert len(host.view(net.now_s).working) == 7


def test_frozen_host_that_wakes_suspects_nobody():
    """A host's process is stopped for 20 s and continues.

    All its open probes are overdue then. It must not declare the other
    hosts suspect.
    """
    net = member_net.MemberNet(7)
    net.run(10)
    net.down.add('h005')
    net.run(20)
    net.down.discard('h005')
    for _ in range(100):
        net.run(0.1)
        assert net.hosts['h005'].view(net.now_s).unsure == ()
    assert _statuses(net, 'h005') == {'alive'}


def test_view_has_hosts_whose_messages_arrived_recently():
    net = member_net.MemberNet(7)
    net.run(20)
    view = net.hosts['h000'].view(net.now_s)
    assert len(view.recently_seen) == 7
    net.part(['h000'], [name for name in net.hosts if name != 'h000'])
    net.run(30)
    assert net.hosts['h000'].view(net.now_s).recently_seen == ('h000',)


def test_highest_number_reaches_every_host():
    net = member_net.MemberNet(50)
    net.run(30)
    net.hosts['h007'].offer_value('manifest', 12)
    net.run(15)
    got = {host.values.get('manifest') for host in net.hosts.values()}
    assert got == {12}
    assert net.hosts['h007'].own_values == {'manifest': 12}
    assert net.hosts['h001'].own_values == {}


@pytest.mark.parametrize('count', [7, 50])
def test_message_size_does_not_grow_with_the_hosts(count):
    net = member_net.MemberNet(count, codec=True)
    net.run(20)
    config = membership_config.MembershipConfig()
    most = config.max_claims + config.page_claims
    assert net.largest_message_bytes < 90 * (most + 2)


def test_codec_keeps_every_field():
    claim = member_claim.MemberClaim(
        host_id='a', url='http://a', zone='z', incarnation=3, leaving=True
    )
    message = member_message.MemberMessage(
        kind=member_message.MessageKind.ACK_FOR,
        sequence=4,
        sender=claim,
        subject_id='b',
        claims=(dataclasses.replace(claim, host_id='c'),),
        page_after='',
        page_next='k',
        values=(('manifest', 3),),
        own_values=(('manifest', 2),),
    )
    assert member_codec.decode(member_codec.encode(message)) == message


@pytest.mark.parametrize('data', [b'', b'[]', b'{"k":"ping"}', b'{"k":1}'])
def test_codec_quotes_malformed_data(data):
    with pytest.raises(ValueError, match='not a membership message'):
        member_codec.decode(data)
