import asyncio
import errno
import time

from limpetroute.control import claim_store
from limpetroute.control import control_client
from limpetroute.control import http_claim_store
from limpetroute.wire import call_failed
from limpetroute.wire import caller
from tests.control import control_fleet
from tests.control import failing_files
from tests.whole_path import port_pool

CLAIM = {
    'team': 'bank',
    'key': 'release-7',
    'body_digest': 'd1',
    'holder': 'entry-1',
}
NOT_MADE = claim_store.ClaimNotMade


async def _submit(client, number, sender='ci', **fields):
    got = await client.post(
        path='/v1/manifest',
        body={'number': number, 'sender': sender, **fields},
        timeout_s=10.0,
    )
    return got.body


async def _claim(fleet, key, *hosts):
    return await fleet.store(*hosts).claim(
        **{**CLAIM, 'key': key}, timeout_s=5.0
    )


def test_manifests_claims_and_fences(tmp_path):
    """Two operators submit the same number, and one sends it twice."""

    async def run():
        async with control_fleet.running(tmp_path) as fleet:
            client = fleet.client()
            first = await _submit(client, 4, 'pipeline-a')
            assert (first['outcome'], first['resent']) == ('accepted', False)
            again = await _submit(client, 4, 'pipeline-a')
            assert (again['outcome'], again['resent']) == ('accepted', True)
            other = await _submit(
                client, 4, 'pipeline-b', objective='wasted_prefill'
            )
            assert other['outcome'] == 'conflict'
            assert other['winner_digest'] == first['digest']
            assert other['winner_sender'] == 'pipeline-a'
            late = await _submit(client, 3, 'pipeline-a')
            assert (late['outcome'], late['newest_number']) == ('stale', 4)
            bad = await _submit(
                client, 5, pools=[{'name': 'p', 'models': ['m']}]
            )
            assert bad['outcome'] == 'invalid'
            assert 'pools.0.prefill' in ' '.join(bad['errors'])

            store = fleet.store()
            granted = await store.claim(**CLAIM, timeout_s=5.0)
            assert isinstance(granted, claim_store.ClaimGranted)
            found = await fleet.store().claim(
                **{**CLAIM, 'body_digest': 'd2'}, timeout_s=5.0
            )
            assert found == claim_store.ClaimFound(same_body=False)
            assert await store.settle(
                team='bank',
                key='release-7',
                status=200,
                body='sent',
                timeout_s=5.0,
            )
            found = await fleet.store().claim(**CLAIM, timeout_s=5.0)
            assert found == claim_store.ClaimFound(
                same_body=True, status=200, body='sent'
            )
            fences = [
                (
                    await client.post(
                        path='/v1/fences',
                        body={'name': 'runner-1'},
                        timeout_s=5.0,
                    )
                ).body['fence']
                for _ in range(3)
            ]
            assert fences == [1, 2, 3]

    asyncio.run(run())


class _DropsAnswers(caller.Caller):
    """Drops the response to each claim."""

    __slots__ = ('drops',)

    async def call(self, **kwargs):
        got = await super().call(**kwargs)
        if self.drops and kwargs['url'].endswith('/v1/claims'):
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.TIMEOUT, sent=True
            )
        return got


def test_grant_with_a_lost_answer_is_withdrawn(tmp_path):
    """Guards against a claim that blocks its key although no call was made.

    The claim was written but the response was lost, so the call was not
    sent and the caller got ``not_run``. The next attempt must not find that
    claim and report forever that the call may have run.
    """

    async def run():
        async with control_fleet.running(tmp_path) as fleet:
            http = _DropsAnswers()
            http.drops = True
            client = control_client.ControlClient(
                urls=[fleet.url('c1'), fleet.url('c2')], http=http
            )
            store = http_claim_store.HttpClaimStore(client=client)
            lost = await store.claim(**CLAIM, timeout_s=0.5)
            assert isinstance(lost, NOT_MADE)
            http.drops = False
            again = await store.claim(**CLAIM, timeout_s=5.0)
            assert isinstance(again, claim_store.ClaimGranted)
            found = await fleet.store().claim(**CLAIM, timeout_s=5.0)
            assert isinstance(found, claim_store.ClaimFound)

    asyncio.run(run())


def test_isolated_host_answers_not_run(tmp_path):
    """A control host without contact to the others runs no command."""

    async def run():
        async with control_fleet.running(tmp_path) as fleet:
            assert await _claim(fleet, 'before')
            await fleet.stop('c2')
            await fleet.stop('c3')
            node = fleet.servers['c1'].node
            await fleet.until(
                lambda: not node.config.replica.has_active_leader(node.now_s)
            )
            began_s = time.monotonic()
            got = await fleet.client('c1').post(
                path='/v1/fences', body={'name': 'a'}, timeout_s=1.0
            )
            assert isinstance(got, control_client.NotRun)
            assert time.monotonic() - began_s < 10
            assert isinstance(
                await fleet.store('c1').claim(**CLAIM, timeout_s=0.5), NOT_MADE
            )

    asyncio.run(run())


def test_leader_with_a_full_disk_steps_down(tmp_path):
    """The leader's disk fills up while claims are made.

    The leader reports the failure and acknowledges nothing more. Another
    host becomes leader, and every granted claim is found there.
    """

    async def run():
        files = {host: failing_files.FailingFiles() for host in 'abc'}
        fleet = control_fleet.ControlFleet(tmp_path, hosts=('a', 'b', 'c'))
        for host in fleet.hosts:
            fleet.start(host, files=files[host])
        try:
            await fleet.ready()
            granted = []
            for number in range(10):
                got = await _claim(fleet, f'k{number}')
                assert isinstance(got, claim_store.ClaimGranted)
                granted.append(f'k{number}')
            former = fleet.leader(1)
            files[former].error = errno.ENOSPC
            await asyncio.gather(
                *(_claim(fleet, f'late{number}') for number in range(5))
            )
            node = fleet.servers[former].node
            await fleet.until(lambda: node.failure)
            assert 'ENOSPC' in node.failure
            await fleet.until(lambda: fleet.leader(1) not in (None, former))
            for key in granted:
                got = await _claim(fleet, key)
                assert isinstance(got, claim_store.ClaimFound), key
        finally:
            for host in list(fleet.servers):
                await fleet.stop(host)

    asyncio.run(run())


def test_lost_disk_then_a_second_failure(tmp_path):
    """One control host loses its disk, and after its repair another fails.

    The empty host returns as a new replica and becomes a voter once it has
    caught up. The group then works without the second host, and every
    granted claim is found. A fourth host then replaces the second.
    """

    async def run():
        hosts = ('c1', 'c2', 'c3')
        async with control_fleet.running(tmp_path, hosts=hosts) as fleet:
            for number in range(20):
                await _claim(fleet, f'k{number}')
            former = fleet.servers['c2'].node.folder.replica_id
            await fleet.stop('c2')
            fleet.lose_disk('c2')
            fleet.start('c2')
            node = fleet.servers['c2'].node
            assert node.folder.replica_id != former

            def repaired():
                return all(is_voter(group) for group in (0, 1))

            def is_voter(group):
                leader = fleet.leader(group)
                if leader is None or fleet.voters(group) != set(hosts):
                    return False
                replica = fleet.servers[leader].node.groups[group].replica
                # An uncommitted change is lost with its leader, and the new
                # replica is then no voter.
                return (
                    node.folder.replica_id in replica.membership.voters
                    and replica.commit_index >= replica.log.membership_index
                )

            await fleet.until(repaired)
            await fleet.stop('c3')
            for number in range(20):
                got = await _claim(fleet, f'k{number}', 'c1', 'c2')
                assert isinstance(got, claim_store.ClaimFound), number
            fleet.ports['c4'] = port_pool.free_port()
            fleet.start('c4', peers=('c1', 'c2', 'c4'))
            await fleet.until(lambda: fleet.leader(0) and fleet.leader(1))
            await fleet.until(lambda: 'c4' in node._seen_hosts)
            for host in ('c1', 'c2'):
                got = await fleet.client(host).post(
                    path='/v1/members/replace',
                    body={'old_host': 'c3', 'new_host': 'c4'},
                    timeout_s=5.0,
                )
                assert got.body['outcome'] == 'begun', got
            await fleet.until(
                lambda: all(
                    fleet.voters(group) == {'c1', 'c2', 'c4'}
                    for group in (0, 1)
                )
            )

    asyncio.run(run())
