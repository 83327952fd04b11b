"""A group that bootstraps from seeds and repairs its membership."""

import asyncio
import errno

import pytest

from limpetroute.control import command_submitter
from tests.control import failing_files
from tests.control import seed_fleet

HOSTS = [f'127.0.0.{n}' for n in range(11, 16)]
SEEDS = HOSTS[:3]
NEW = '127.0.0.17'
SUCCESSORS = [NEW, '127.0.0.18', '127.0.0.19']
# Time between the loss of a host and its successor's start.
SUCCESSOR_S = 1.0
# Time after its successor's start after which a host does not count as lost.
CATCH_UP_S = 4.0


def run(tmp_path, work):
    async def whole():
        fleet = seed_fleet.SeedFleet(tmp_path, SEEDS)
        try:
            await work(fleet)
        finally:
            await fleet.stop_all()

    asyncio.run(whole())


async def bootstrap(fleet, hosts=HOSTS):
    for host in hosts:
        fleet.start(host)
    await fleet.until(lambda: fleet.voters() == sorted(HOSTS))


def test_seeds_bootstrap_and_the_others_join(tmp_path):
    async def work(fleet):
        await bootstrap(fleet, list(reversed(HOSTS)))
        await fleet.submit(HOSTS[4], 3)
        assert await fleet.read(HOSTS[0]) == 3

    run(tmp_path, work)


def test_nothing_is_acknowledged_before_the_group_is_complete(tmp_path):
    """An entry on three hosts would be lost with the disks of two."""

    async def work(fleet):
        for host in SEEDS:
            fleet.start(host)
        await fleet.until(fleet.voters)
        got = await fleet.submitter(SEEDS[0]).submit_routes(
            version=1, digest='x', text='{}'
        )
        assert isinstance(got, command_submitter.Unconfirmed)
        for host in HOSTS[3:]:
            fleet.start(host)
        await fleet.until(lambda: len(fleet.voters()) == 5)
        await fleet.submit(SEEDS[0], 1)

    run(tmp_path, work)


def test_a_seed_that_restarts_during_bootstrap_makes_no_second_group(tmp_path):
    async def work(fleet):
        for host in SEEDS:
            fleet.start(host)
        await asyncio.sleep(0.3)
        await fleet.stop(SEEDS[0])
        fleet.start(SEEDS[0])
        for host in HOSTS[3:]:
            fleet.start(host)
        await fleet.until(lambda: fleet.voters() == sorted(HOSTS))
        bootstrapped = {
            server.node.folder.bootstrap_replicas is not None
            for host, server in fleet.servers.items()
            if host in SEEDS
        }
        assert bootstrapped == {True}

    run(tmp_path, work)


def test_two_lost_disks_at_once_lose_nothing(tmp_path):
    """Two hosts lose their disks right after an acknowledgement.

    They restart with empty disks at their addresses. The acknowledged entry
    must still be there, and new replicas must replace the lost ones.
    """

    async def work(fleet):
        await bootstrap(fleet)
        await fleet.submit(HOSTS[0], 5)
        lost = HOSTS[:2]
        await fleet.stop(*lost)
        for host in lost:
            fleet.lose_disk(host)
            fleet.start(host, may_found=False)
        assert await fleet.read(HOSTS[4]) == 5
        await fleet.until(lambda: fleet.voters() == sorted(HOSTS))
        for host in lost:
            replica_id = fleet.servers[host].node.folder.replica_id
            assert not replica_id.endswith('founder')
        assert await fleet.read(HOSTS[0]) == 5

    run(tmp_path, work)


def test_a_new_host_replaces_a_host_that_is_gone(tmp_path):
    """A host is gone for good, and an empty host starts elsewhere."""

    async def work(fleet):
        await bootstrap(fleet)
        await fleet.submit(HOSTS[0], 5)
        await fleet.stop(HOSTS[1])
        fleet.start(NEW, may_found=False)
        wanted = sorted([*HOSTS, NEW])
        wanted.remove(HOSTS[1])
        await fleet.until(lambda: fleet.voters() == wanted)
        assert await fleet.read(NEW) == 5

    run(tmp_path, work)


# Guards against lost voters that still count when their successors have had
# their time, so that the next loss ends the group for good.
@pytest.mark.parametrize('loses_leader', [False, True])
def test_a_loss_after_two_replaced_hosts_is_tolerated(tmp_path, loses_leader):
    async def work(fleet):
        await bootstrap(fleet)
        await fleet.submit(HOSTS[0], 5)
        leader = fleet.leader()
        others = [host for host in HOSTS if host != leader]
        first, second, third, last = others
        await fleet.lose(first, leader if loses_leader else second)
        await asyncio.sleep(SUCCESSOR_S)
        for host in SUCCESSORS[:2]:
            fleet.start(host, may_found=False)
        await asyncio.sleep(CATCH_UP_S)
        await fleet.submit(SUCCESSORS[0], 6)
        await fleet.lose(third)
        await asyncio.sleep(SUCCESSOR_S)
        fleet.start(SUCCESSORS[2], may_found=False)
        assert await fleet.read(last) == 6
        await fleet.submit(SUCCESSORS[2], 7)

    run(tmp_path, work)


def test_an_unresponsive_host_is_not_removed_without_a_successor(tmp_path):
    async def work(fleet):
        await bootstrap(fleet)
        await fleet.stop(HOSTS[1])
        await asyncio.sleep(7.0)
        assert fleet.voters() == sorted(HOSTS)

    run(tmp_path, work)


def test_all_restart_at_once_with_other_seeds(tmp_path):
    """The seeds in the settings are gone; the members are on the disks."""

    async def work(fleet):
        await bootstrap(fleet)
        await fleet.submit(HOSTS[0], 9)
        await fleet.stop_all()
        for host in HOSTS:
            fleet.start(host, may_found=False, seeds=['127.0.0.99'])
        assert await fleet.read(HOSTS[3]) == 9

    run(tmp_path, work)


def test_an_isolated_host_does_not_confirm_a_read(tmp_path):
    async def work(fleet):
        await bootstrap(fleet)
        await fleet.submit(HOSTS[0], 2)
        await fleet.stop(*HOSTS[:3])
        await asyncio.sleep(1.5)
        got = await fleet.submitter(HOSTS[4]).newest_routes()
        assert isinstance(got, command_submitter.Unconfirmed)

    run(tmp_path, work)


def test_a_disk_that_was_full_is_used_again(tmp_path):
    """A disk is full for some seconds and then has free space again.

    The replica fails correctly. If it did not recover, two more hosts with
    full disks would stop the group for good.
    """

    async def work(fleet):
        files = failing_files.FailingFiles()
        for host in HOSTS:
            fleet.start(host, files=files if host == HOSTS[1] else None)
        await fleet.until(lambda: fleet.voters() == sorted(HOSTS))
        await fleet.submit(HOSTS[0], 1)
        files.error = errno.ENOSPC
        node = fleet.servers[HOSTS[1]].node
        await fleet.submit(HOSTS[0], 2)
        await fleet.until(lambda: node.failure)
        await asyncio.sleep(1.2)
        assert node.failure
        files.error = 0
        await fleet.until(lambda: not node.failure)
        await fleet.submit(HOSTS[0], 3)
        await fleet.until(
            lambda: (
                node.config.state.routes
                and node.config.state.routes.version == 3
            )
        )
        await fleet.stop(HOSTS[3], HOSTS[4])
        await fleet.submit(HOSTS[0], 4)

    run(tmp_path, work)
