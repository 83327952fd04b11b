"""Measures what a routing configuration costs, by its number of routes.

Run it with ``python -m tests.forwarding.measure_routes``.
"""

import asyncio
import pathlib
import tempfile
import time

from limpetroute.border import routes_update_body
from limpetroute.control import recent_routes
from limpetroute.control import routes_store
from limpetroute.forwarding import fleet_view
from limpetroute.platform import http_dialect
from tests.forwarding import large_routes

SIZES = (100, 1_400, 2_800, 10_000)
MILLIS = 1000.0


def main():
    print('routes | document KB | load KB, s | change KB, s', end=' | ')
    print('entry CPU ms load, change | control CPU ms split, update')
    for size in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            over_link = asyncio.run(_over_link(pathlib.Path(folder), size))
        document_kb = len(large_routes.text(1, size)) / 1000
        print(f'{size} | {document_kb:.0f} | {over_link} | {_cpu(size)}')


async def _over_link(folder, size):
    async with large_routes.following(folder) as (fleet, follower):
        await large_routes.submit(fleet, 1, large_routes.text(1, size))
        begun_s = time.monotonic()
        follower.watch.start()
        await large_routes.in_force_after_s(follower, 1, 30.0)
        load_s = time.monotonic() - begun_s
        load_bytes = follower.link.bytes_in
        await large_routes.submit(fleet, 2, large_routes.text(2, size + 1))
        change_s = await large_routes.in_force_after_s(follower, 2, 30.0)
        assert follower.version == 2
        change_bytes = follower.link.bytes_in - load_bytes
    return (
        f'{load_bytes / 1000:.1f}, {load_s:.2f} | '
        f'{change_bytes / 1000:.1f}, {change_s:.3f}'
    )


def _cpu(size):
    recent = recent_routes.RecentRoutes()
    view = fleet_view.FleetView(dialect=http_dialect.HttpDialect())
    times_ms = []
    for version in (1, 2):
        text = large_routes.text(version, size + version - 1)
        digest = large_routes.digest(text)
        recent.note(
            routes_store.RoutesInForce(
                version=version, digest=digest, text=text
            )
        )
        split_ms = _took_ms(lambda digest=digest: recent.get(digest))
        held = view.routes.digest
        begun_s = time.process_time()
        update = recent.update(held, digest)
        update_ms = (time.process_time() - begun_s) * MILLIS
        take_ms = _took_ms(lambda update=update: _take(view, update.text))
        times_ms.append((split_ms, update_ms, take_ms))
    load, change = times_ms
    return f'{load[2]:.1f}, {change[2]:.1f} | {change[0]:.1f}, {change[1]:.1f}'


def _take(view, text):
    body = routes_update_body.RoutesUpdateBody.model_validate_json(text)
    update = body.to_update()
    copy = view.routes.apply(update)
    view.prepare(update.added)
    view.apply_routes(copy)


def _took_ms(work):
    begun_s = time.process_time()
    work()
    return (time.process_time() - begun_s) * MILLIS


if __name__ == '__main__':
    main()
