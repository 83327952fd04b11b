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
    ('fields', 'said'),
    [
        ({'timeout_s': 0.0}, 'timeout'),
        ({'shares': (route.Share(service='plain', weight=0.0),)}, 'weights'),
        ({'shares': (route.Share(service='x', weight=1.0),)}, 'unknown'),
        ({'shares': ()}, 'weights'),
        ({'path_prefix': '/a'}, 'end with /'),
    ],
)
def test_a_plan_that_is_not_sound_says_why(fields, said):
    plan = builders.make_plan(builders.make_route(**fields))
    assert any(said in line for line in plan.problems())


def test_two_routes_of_one_place_are_not_sound():
    plan = builders.make_plan(
        builders.make_route(name='one'), builders.make_route(name='two')
    )
    assert any('twice' in line for line in plan.problems())


def test_a_sound_plan_says_nothing():
    assert not builders.make_plan(builders.make_route()).problems()
