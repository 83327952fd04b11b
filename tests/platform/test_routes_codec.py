import json

import pytest

from limpetroute.platform import routes_codec
from limpetroute.routing import route_kind

ENGINE = {
    'slots': 12,
    'kv-capacity': 78413,
    'token-bytes': 18432,
    'stride': 67,
    'kv-ttl-s': 0.5,
    'switch-s': 6.0,
    'models': [{'name': 'm'}],
}


def make_body(**changes):
    body = {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'host': 'h.example',
                'path-prefix': '/a/',
                'kind': 'streaming',
                'timeout-ms': 14000,
                'slo-ms': 900,
                'gap-slo-ms': 300,
                'priority': 1,
                'split': [
                    {'service': 'model', 'weight': 90},
                    {'service': 'plain', 'weight': 10},
                ],
                'attempts': 2,
                'sticky': True,
                'resumable': True,
            }
        ],
        'services': [
            {'name': 'model', 'max-conns': 150, 'engine': ENGINE},
            {'name': 'plain', 'max-conns': 100, 'new-field': 1},
        ],
        'limits': {'max-body-bytes': 1000, 'idle-timeout-ms': 15000},
    }
    body.update(changes)
    return body


def change_route(**fields):
    body = make_body()
    body['routes'][0].update(fields)
    return body


def test_every_field_is_decoded():
    plan = routes_codec.decode(json.dumps(make_body()))
    (route,) = plan.routes
    assert plan.version == 7
    assert route.kind is route_kind.RouteKind.STREAM
    assert (route.timeout_s, route.target_s) == (14.0, 0.9)
    assert (route.gap_target_s, route.max_sends) == (0.3, 2)
    assert route.resumable
    assert [share.weight for share in route.shares] == [90, 10]
    engine = plan.service('model').engine
    assert (engine.slots, engine.memory_tokens) == (12, 78413)
    assert (engine.tokens_per_event, engine.stage_change_s) == (67, 6.0)
    assert plan.limits.max_body_bytes == 1000
    assert plan.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    'body',
    [
        make_body(services=[]),
        change_route(**{'timeout-ms': 0}),
        change_route(split=[{'service': 'model', 'weight': 0}]),
        change_route(split=[], service='nowhere'),
        change_route(kind='sometimes'),
        make_body(routes=make_body()['routes'] * 2),
        make_body(version='seven'),
        {'version': 7},
        [],
    ],
)
def test_an_invalid_configuration_is_refused(body):
    with pytest.raises(routes_codec.InvalidRoutesError):
        routes_codec.decode(json.dumps(body))


# Guards against a version that is acknowledged and then read as another one,
# or that entry hosts cannot report.
@pytest.mark.parametrize(
    'version',
    ['-1', '1.8e18', '7.5', '"7"', 'true', 'NaN', str(2**63), '9' * 5000],
)
def test_a_version_that_is_no_integer_of_63_bits_is_refused(version):
    text = json.dumps(make_body(version=7))
    text = text.replace('"version": 7', f'"version": {version}')
    with pytest.raises(routes_codec.InvalidRoutesError, match='version|JSON'):
        routes_codec.decode(text)


@pytest.mark.parametrize('version', [0, 2**53 + 1, 2**63 - 1])
def test_versions_of_63_bits_are_read_exactly(version):
    text = json.dumps(make_body(version=version))
    assert routes_codec.decode(text).version == version


def test_a_truncated_configuration_is_refused():
    text = json.dumps(make_body())
    for end in range(0, len(text), 7):
        with pytest.raises(routes_codec.InvalidRoutesError):
            routes_codec.decode(text[:end])


@pytest.mark.parametrize(
    ('target_ms', 'pause_ms', 'silence_s'),
    [(900, 300, 3.6), (200, 100, 2.0), (2000, 300, 8.0), (300, 600, 4.8)],
)
def test_how_long_callers_wait_follows_from_the_route(
    target_ms, pause_ms, silence_s
):
    """A fixed time would be wrong for routes with other targets.

    Placements would be refused although callers still wait, or, with
    short targets, made for callers that have left.
    """
    body = make_body()
    body['routes'][0].update({'slo-ms': target_ms, 'gap-slo-ms': pause_ms})
    plan = routes_codec.decode(json.dumps(body))
    assert plan.routes[0].silence_s == pytest.approx(silence_s)
