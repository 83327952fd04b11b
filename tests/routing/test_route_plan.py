import pytest

from limpetroute.routing import route
from tests.routing import builders


def test_the_longest_prefix_of_the_host_wins():
    plan = builders.make_plan(
        builders.make_route(name='short', path_prefix='/a/'),
        builders.make_route(name='long', path_prefix='/a/b/'),
        builders.make_route(name='other', host='o.example'),
    )
    assert plan.find('h.example', '/a/b/c').name == 'long'
    assert plan.find('H.example', '/a/x').name == 'short'
    assert plan.find('h.example', '/ab/') is None
    assert plan.find('x.example', '/a/') is None


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'timeout_s': 0.0}, 'timeout'),
        ({'shares': (route.Share(service='plain', weight=0.0),)}, 'weights'),
        ({'shares': (route.Share(service='x', weight=1.0),)}, 'unknown'),
        ({'shares': ()}, 'weights'),
        ({'path_prefix': '/a'}, 'end with /'),
    ],
)
def test_an_invalid_plan_names_its_errors(fields, expected):
    plan = builders.make_plan(builders.make_route(**fields))
    assert any(expected in line for line in plan.problems())


def test_two_routes_with_one_host_and_prefix_are_invalid():
    plan = builders.make_plan(
        builders.make_route(name='one'), builders.make_route(name='two')
    )
    assert any('twice' in line for line in plan.problems())


def test_a_valid_plan_has_no_errors():
    assert not builders.make_plan(builders.make_route()).problems()
