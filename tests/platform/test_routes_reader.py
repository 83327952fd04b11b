"""Incremental decoding gives the same plan as decoding the whole text."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.platform import routes_codec
from limpetroute.platform import routes_reader
from limpetroute.routing import config_fragments
from tests.platform import test_routes_codec

ROUTE = test_routes_codec.make_body()['routes'][0]
CHANGES = st.lists(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from([900, 1000, 1100])),
        max_size=6,
        unique_by=lambda pair: pair[0],
    ),
    min_size=1,
    max_size=4,
)


def document(version, rows):
    routes = [
        {**ROUTE, 'name': f'r{name}', 'path-prefix': f'/{name}/', 'slo-ms': ms}
        for name, ms in rows
    ]
    return test_routes_codec.make_body(version=version, routes=routes)


@hypothesis.given(
    changes=CHANGES, indent=st.sampled_from([None, 2]), ahead=st.booleans()
)
def test_each_version_is_read_as_from_its_text(changes, indent, ahead):
    reader = routes_reader.RoutesReader()
    for version, rows in enumerate(changes, start=1):
        text = json.dumps(document(version, rows), indent=indent)
        parts = config_fragments.split(text)
        if ahead:
            reader.prepare(parts[:2])
        assert reader.read(parts) == routes_codec.decode(text)
        assert (
            routes_reader.read_services(parts)
            == routes_codec.decode(text).services
        )


def test_a_text_of_a_single_fragment_is_decoded():
    text = json.dumps(document(3, [(1, 900)]))
    parts = (config_fragments.ConfigFragment('', text),)
    plan = routes_reader.RoutesReader().read(parts)
    assert plan == routes_codec.decode(text)
    assert routes_reader.read_services(parts) == plan.services


def test_an_invalid_route_is_refused():
    broken = document(3, [(1, 900)])
    del broken['routes'][0]['kind']
    with pytest.raises(routes_codec.InvalidRoutesError):
        routes_reader.RoutesReader().read(
            config_fragments.split(json.dumps(broken))
        )
