"""Tests of updates of the routes that an entry host cannot use."""

import asyncio
import random

import pytest

from limpetroute.border import routes_update_body
from limpetroute.forwarding import fleet_view
from limpetroute.forwarding import routes_loader
from limpetroute.platform import http_dialect
from limpetroute.routing import config_fragments
from limpetroute.routing import routes_copy
from limpetroute.wire import reply
from tests.forwarding import large_routes

URL = 'http://127.0.0.1:1'


def copy(version, text):
    return routes_copy.RoutesCopy(
        version=version,
        digest=large_routes.digest(text),
        parts=config_fragments.split(text),
    )


class ControlHost:
    """Replaces the HTTP client and responds for one control host."""

    def __init__(self, newest, *, status=200):
        self.text = routes_update_body.encode(
            routes_copy.update_between(routes_copy.RoutesCopy(), newest)
        )
        self.newest = newest
        self.status = status
        self.calls = 0

    async def call(self, **rest):
        self.calls += 1
        body = routes_update_body.RoutesSliceBody(
            base='',
            digest=self.newest.digest,
            size=len(self.text),
            offset=0,
            text=self.text,
        )
        return reply.Reply(
            status=self.status,
            headers={},
            body=body.model_dump_json().encode(),
        )


def make(host):
    view = fleet_view.FleetView(dialect=http_dialect.HttpDialect())
    loader = routes_loader.RoutesLoader(
        view=view, http=host, urls=lambda: [URL], rng=random.Random(1)
    )
    return view, loader


def notice(newest, update=None):
    return routes_update_body.RoutesNoticeBody(
        version=newest.version,
        digest=newest.digest,
        update=update
        and routes_update_body.RoutesUpdateBody.model_validate_json(
            routes_update_body.encode(update)
        ),
    )


def test_an_update_with_a_wrong_digest_has_the_whole_fetched():
    """A host must never use a configuration that was not acknowledged."""

    async def work():
        newest = copy(2, large_routes.text(2, 5))
        wrong = routes_copy.RoutesUpdate(
            version=2,
            digest=newest.digest,
            base='',
            steps=(routes_copy.NewFragments(array='', texts=('{}',)),),
        )
        view, loader = make(ControlHost(newest))
        loader.notify(notice(newest, wrong))
        assert view.plan is None
        await asyncio.sleep(0.1)
        assert view.routes == newest

    asyncio.run(work())


@pytest.mark.parametrize('inline', [True, False])
def test_an_unusable_configuration_is_fetched_with_growing_delays(inline):
    """Guards against links filled by a configuration of another release.

    Fetching it again never helps, so the delay between attempts grows.
    The next version is loaded as usual.
    """

    async def work():
        broken = copy(2, '{"version":2,"routes":[{"kind":"new"}]}')
        host = ControlHost(broken)
        view, loader = make(host)
        update = routes_copy.update_between(routes_copy.RoutesCopy(), broken)
        loader.notify(notice(broken, update if inline else None))
        await asyncio.sleep(1.0)
        assert view.plan is None
        assert 2 <= host.calls <= 6
        good = copy(3, large_routes.text(3, 5))
        host.__init__(good)
        loader.notify(notice(good))
        async with asyncio.timeout(5.0):
            while view.routes != good:
                await asyncio.sleep(0.02)
        loader.stop()

    asyncio.run(work())


def test_a_version_that_no_host_holds_is_given_up():
    """The host must not wait for this version forever."""

    async def work():
        newest = copy(2, large_routes.text(2, 5))
        view, loader = make(ControlHost(newest, status=404))
        loader.notify(notice(newest))
        assert loader.version == 2
        await asyncio.sleep(0.2)
        assert loader.version == routes_copy.NO_VERSION
        assert view.plan is None

    asyncio.run(work())
