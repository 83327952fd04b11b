"""Tests that entry hosts load large configurations over slow links."""

import asyncio
import logging

from limpetroute.control import recent_routes
from tests.forwarding import large_routes

# Time within which an acknowledged change must be in force at every host.
IN_FORCE_S = 2.5
# A few KB for one change, including the responses of the watch.
ONE_CHANGE_BYTES = 8192
# 10,000 routes, compressed, including the response headers.
WHOLE_BYTES = 400_000


def test_a_change_of_many_routes_is_in_force_in_time(tmp_path):
    """Guards against old routes that stay in force long after a change.

    A fleet has 1,400 routes. 1,400 more are added and acknowledged, and
    another change follows at once. The watch's response carried all routes
    and had a fixed deadline. At 5 Mbit/s it was cut off shortly before its
    end, discarded and requested again, which filled the link for good: the
    hosts logged timeouts after 540 KB of 570 KB.
    """

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            await large_routes.submit(fleet, 7, large_routes.text(7, 1400))
            follower.watch.start()
            await large_routes.time_to_version_s(follower, 7, 5.0)
            assert follower.version == 7
            await large_routes.submit(fleet, 13, large_routes.text(13, 2800))
            document = large_routes.text(17, 2800, **{'idle-timeout-ms': 9000})
            await large_routes.submit(fleet, 17, document)
            took_s = await large_routes.time_to_version_s(
                follower, 17, 2 * IN_FORCE_S
            )
            assert took_s < IN_FORCE_S

    asyncio.run(work())


def test_one_route_more_costs_what_changed(tmp_path):
    """Guards against small changes of the routes that delay answers.

    A fleet has 10,000 routes, and one is added. Sending all of them takes
    four seconds of an entry host's link of 5 Mbit/s and a third of a
    second of its CPU for each change. Only the difference may be sent.
    """

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            await large_routes.submit(fleet, 1, large_routes.text(1, 10_000))
            follower.watch.start()
            await large_routes.time_to_version_s(follower, 1, 20.0)
            assert follower.version == 1
            bytes_before = follower.link.bytes_in
            await large_routes.submit(fleet, 2, large_routes.text(2, 10_001))
            took_s = await large_routes.time_to_version_s(follower, 2, 5.0)
            assert took_s < IN_FORCE_S
            assert follower.link.bytes_in - bytes_before < ONE_CHANGE_BYTES
            assert len(follower.view.plan.routes) == 10_001

    asyncio.run(work())


def test_a_first_load_leaves_bandwidth_for_callers(tmp_path):
    """Guards against a full load that delays callers.

    A host that was cut off fetches all 10,000 routes again. Unless it
    pauses between slices, the link carries nothing else meanwhile.
    """

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            await large_routes.submit(fleet, 1, large_routes.text(1, 10_000))
            follower.watch.start()
            took_s = await large_routes.time_to_version_s(follower, 1, 20.0)
            assert follower.version == 1
            link_s = follower.link.bytes_in / follower.link.bytes_per_s
            assert link_s < 0.6 * took_s

    asyncio.run(work())


def test_a_load_that_breaks_goes_on_where_it_stopped(tmp_path):
    """Guards against a starting host that never gets routes on a poor link.

    Its connections break repeatedly during the load. The slices received
    before a break are kept, because a load that restarts from the
    beginning each time never completes.
    """

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            await large_routes.submit(fleet, 1, large_routes.text(1, 10_000))
            follower.link.break_interval_s = 0.15
            follower.watch.start()
            await large_routes.time_to_version_s(follower, 1, 20.0)
            assert follower.version == 1
            assert follower.link.broken_connections
            fragment_count = len(follower.view.routes.parts)
            assert fragment_count > 10_000
            assert follower.link.bytes_in < 2 * WHOLE_BYTES

    asyncio.run(work())


def test_changes_in_quick_succession_all_arrive(tmp_path):
    """A host that is loading one version receives the next ones too."""

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            follower.watch.start()
            for version in range(1, 11):
                document = large_routes.text(version, 300 * version)
                await large_routes.submit(fleet, version, document)
                await asyncio.sleep(0.1)
            took_s = await large_routes.time_to_version_s(follower, 10, 5.0)
            assert took_s < IN_FORCE_S
            assert follower.view.routes.digest == large_routes.digest(document)

    asyncio.run(work())


def test_a_base_that_nobody_holds_is_fetched_whole(tmp_path):
    """A host returns from a long partition with an old version.

    The control hosts no longer keep its version, so they cannot compute
    an update from it and must send the whole configuration.
    """

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            await large_routes.submit(fleet, 1, large_routes.text(1, 50))
            follower.watch.start()
            await large_routes.time_to_version_s(follower, 1, 5.0)
            follower.watch.stop()
            last = recent_routes.MAX_VERSIONS + 2
            for version in range(2, last + 1):
                document = large_routes.text(version, 50)
                await large_routes.submit(fleet, version, document)
            follower.watch.start()
            await large_routes.time_to_version_s(follower, last, 5.0)
            assert follower.version == last
            assert follower.view.routes.digest == large_routes.digest(document)

    asyncio.run(work())


def test_a_change_during_a_fetch_is_sent_as_a_difference(tmp_path, caplog):
    """Guards against whole configurations for a series of small changes.

    A change arrives while the previous one is being fetched. The watch's
    response starts from the version that the host held at its request,
    not from the version that it has fetched since. When this counted as
    an error, the host fetched the whole configuration, and the next
    change arrived during that fetch, and so on.
    """

    async def work():
        async with large_routes.following(tmp_path) as (fleet, follower):
            await large_routes.submit(fleet, 1, large_routes.text(1, 3000))
            follower.watch.start()
            await large_routes.time_to_version_s(follower, 1, 5.0)
            await large_routes.submit(fleet, 2, large_routes.text(2, 3200))
            await large_routes.time_to_version_s(follower, 2, 5.0)
            bytes_before = follower.link.bytes_in
            for version in range(3, 13):
                document = large_routes.text(version, 3200 + version)
                await large_routes.submit(fleet, version, document)
                await asyncio.sleep(0.05)
            await large_routes.time_to_version_s(follower, 12, 5.0)
            assert follower.version == 12
            assert (
                follower.link.bytes_in - bytes_before < 10 * ONE_CHANGE_BYTES
            )

    with caplog.at_level(logging.ERROR, 'limpetroute.forwarding'):
        asyncio.run(work())
    assert not caplog.records
