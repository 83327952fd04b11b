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
    """Two operators race with one number; an answer is lost and resent."""

    async def story():
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

    asyncio.run(story())


class _DropsAnswers(caller.Caller):
    """The connection goes silent after each claim was sent."""

    __slots__ = ('drops',)

    async def call(self, **kwargs):
        got = await super().call(**kwargs)
        if self.drops and kwargs['url'].endswith('/v1/claims'):
            return call_failed.CallFailed(
                kind=call_failed.FailureKind.TIMEOUT, sent=True
            )
        return got


def test_grant_with_a_lost_answer_is_withdrawn(tmp_path):
    """A secretary is told that her entry was not run, and asks again.

    The claim was written but its answer never came, so the call was
    not sent. Her next try must not find that dead claim and be told
    for ever that the entry may have run.
    """

    async def story():
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

    asyncio.run(story())


def test_isolated_host_answers_not_run(tmp_path):
    """One control host hears nobody; callers ask it and it says no."""

    async def story():
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

    asyncio.run(story())


def test_leader_with_a_full_disk_steps_back(tmp_path):
    """The leader's disk fills up while claims come in.

    It says so and acknowledges nothing more; another leads, and every
    claim that was granted is found there.
    """

    async def story():
        files = {host: failing_files.FailingFiles() for host in 'abc'}
        fleet = control_fleet.ControlFleet(tmp_path, hosts=('a', 'b', 'c'))
        for host in fleet.hosts:
            fleet.start(host, files=files[host])
        try:
            await fleet.ready()
            granted = []
            for place in range(10):
                got = await _claim(fleet, f'k{place}')
                assert isinstance(got, claim_store.ClaimGranted)
                granted.append(f'k{place}')
            former = fleet.leader(1)
            files[former].error = errno.ENOSPC
            await asyncio.gather(
                *(_claim(fleet, f'late{place}') for place in range(5))
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

    asyncio.run(story())


def test_lost_disk_then_a_second_failure(tmp_path):
    """A control host's disk dies; right after its repair another host.

    The empty host comes back as a new replica and counts once it has
    caught up; then the group goes on without the second host, and every
    granted claim is known. A fourth host then takes its place.
    """

    async def story():
        hosts = ('c1', 'c2', 'c3')
        async with control_fleet.running(tmp_path, hosts=hosts) as fleet:
            for place in range(20):
                await _claim(fleet, f'k{place}')
            former = fleet.servers['c2'].node.folder.replica_id
            await fleet.stop('c2')
            fleet.lose_disk('c2')
            fleet.start('c2')
            node = fleet.servers['c2'].node
            assert node.folder.replica_id != former

            def repaired():
                return all(counts_again(group) for group in (0, 1))

            def counts_again(group):
                leader = fleet.leader(group)
                if leader is None or fleet.voters(group) != set(hosts):
                    return False
                replica = fleet.servers[leader].node.groups[group].replica
                # Not committed, the change is lost with its leader, and
                # the new replica counts for nothing.
                return (
                    node.folder.replica_id in replica.membership.voters
                    and replica.commit_index >= replica.log.membership_index
                )

            await fleet.until(repaired)
            await fleet.stop('c3')
            for place in range(20):
                got = await _claim(fleet, f'k{place}', 'c1', 'c2')
                assert isinstance(got, claim_store.ClaimFound), place
            fleet.ports['c4'] = control_fleet.free_port()
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

    asyncio.run(story())
