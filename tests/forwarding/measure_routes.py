"""Measures the cost of routing configurations by their size.

Run it with ``python -m tests.forwarding.measure_routes``.
"""

import asyncio
import pathlib
import resource
import tempfile
import time

from limpetroute.border import routes_update_body
from limpetroute.control import recent_routes
from limpetroute.control import routes_store
from limpetroute.forwarding import fleet_view
from limpetroute.platform import http_dialect
from tests.forwarding import large_routes

SIZES = (100, 1_400, 2_800, 10_000)
TEAM_SIZES = (16, 1_000, 13_000)
MILLIS = 1000.0


def main():
    print('routes | document KB | load KB, s | change KB, s', end=' | ')
    print('entry CPU ms load, change | control CPU ms split, update')
    for size in SIZES:
        _measure(size, large_routes.text, size + 1)
    print('teams, one key changed')
    for size in TEAM_SIZES:
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        _measure(size, large_routes.text_with_teams, size)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        print(f'  most memory of all processes here +{after - before} KB')


def _measure(size, make_text, changed_size):
    texts = (make_text(1, size), make_text(2, changed_size))
    with tempfile.TemporaryDirectory() as folder:
        link_cost = asyncio.run(_link_cost(pathlib.Path(folder), texts))
    document_kb = len(texts[0]) / 1000
    print(f'{size} | {document_kb:.0f} | {link_cost} | {_cpu_cost(texts)}')


async def _link_cost(folder, texts):
    async with large_routes.following(folder) as (fleet, follower):
        await large_routes.submit(fleet, 1, texts[0])
        started_s = time.monotonic()
        follower.watch.start()
        await large_routes.time_to_version_s(follower, 1, 30.0)
        load_s = time.monotonic() - started_s
        load_bytes = follower.link.bytes_in
        await large_routes.submit(fleet, 2, texts[1])
        change_s = await large_routes.time_to_version_s(follower, 2, 30.0)
        assert follower.version == 2
        change_bytes = follower.link.bytes_in - load_bytes
    return (
        f'{load_bytes / 1000:.1f}, {load_s:.2f} | '
        f'{change_bytes / 1000:.1f}, {change_s:.3f}'
    )


def _cpu_cost(texts):
    recent = recent_routes.RecentRoutes()
    view = fleet_view.FleetView(dialect=http_dialect.HttpDialect())
    times_ms = []
    for version, text in enumerate(texts, start=1):
        digest = large_routes.digest(text)
        recent.note(
            routes_store.RoutesInForce(
                version=version, digest=digest, text=text
            )
        )
        split_ms = _cpu_time_ms(lambda digest=digest: recent.get(digest))
        held = view.routes.digest
        started_s = time.process_time()
        update = recent.update(held, digest)
        update_ms = (time.process_time() - started_s) * MILLIS
        apply_ms = _cpu_time_ms(
            lambda update=update: _apply(view, update.text)
        )
        times_ms.append((split_ms, update_ms, apply_ms))
    load, change = times_ms
    return f'{load[2]:.1f}, {change[2]:.1f} | {change[0]:.1f}, {change[1]:.1f}'


def _apply(view, text):
    body = routes_update_body.RoutesUpdateBody.model_validate_json(text)
    update = body.to_update()
    copy = view.routes.apply(update)
    view.prepare(update.added)
    view.apply_routes(copy)


def _cpu_time_ms(work):
    started_s = time.process_time()
    work()
    return (time.process_time() - started_s) * MILLIS


if __name__ == '__main__':
    main()
