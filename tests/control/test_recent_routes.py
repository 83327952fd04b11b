"""The last configurations on a control host, and updates between them."""

import gzip
import json

from limpetroute.border import routes_update_body
from limpetroute.control import recent_routes
from limpetroute.control import routes_store
from limpetroute.routing import routes_copy
from tests.forwarding import large_routes


def note(recent, version, routes):
    text = large_routes.text(version, routes)
    in_force = routes_store.RoutesInForce(
        version=version, digest=large_routes.digest(text), text=text
    )
    recent.note(in_force)
    return in_force


def assembled(update):
    """Return an update assembled from its slices."""
    text = ''
    while True:
        body = routes_update_body.RoutesSliceBody.model_validate_json(
            gzip.decompress(update.slice(len(text)))
        )
        text += body.text
        if len(text) == body.size:
            return routes_update_body.RoutesUpdateBody.model_validate_json(
                text
            ).to_update()


def test_an_update_by_one_route_is_sent_inline():
    recent = recent_routes.RecentRoutes()
    before = note(recent, 1, 3000)
    after = note(recent, 2, 3001)
    update = recent.update(before.digest, after.digest)
    assert update.inline
    body = routes_update_body.RoutesUpdateBody.model_validate(
        json.loads(update.text)
    )
    held = recent.get(before.digest)
    assert held.apply(body.to_update()) == recent.get(after.digest)


def test_an_unknown_base_gets_an_update_from_an_empty_configuration():
    recent = recent_routes.RecentRoutes()
    after = note(recent, 2, 1500)
    update = recent.update('unknown', after.digest)
    assert not update.base
    assert not update.inline
    assert routes_copy.RoutesCopy().apply(assembled(update)) == recent.get(
        after.digest
    )


def test_slices_are_small_on_the_wire():
    """Each slice must take a few hundredths of a second at 5 Mbit/s."""
    recent = recent_routes.RecentRoutes()
    after = note(recent, 2, 10_000)
    update = recent.update('', after.digest)
    offsets = range(0, len(update.text), recent_routes.SLICE_CHARS)
    assert max(len(update.slice(offset)) for offset in offsets) < 16_384


def test_only_the_last_versions_are_kept():
    recent = recent_routes.RecentRoutes()
    first = note(recent, 1, 10)
    for version in range(2, recent_routes.MAX_VERSIONS + 3):
        last = note(recent, version, 10)
    assert recent.get(first.digest) is None
    assert recent.update('', first.digest) is None
    assert recent.get(last.digest).version == last.version


def test_large_versions_are_bounded_by_their_size():
    recent = recent_routes.RecentRoutes()
    first = note(recent, 1, 10_000)
    for version in range(2, 11):
        last = note(recent, version, 10_000)
    assert recent.get(first.digest) is None
    assert recent.get(last.digest) is not None
