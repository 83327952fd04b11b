"""Lookups of teams by their keys."""

from limpetroute.routing import access
from limpetroute.routing import team
from limpetroute.routing import team_index
from tests.routing import builders


def make_team(name, *keys):
    return team.Team(
        name=name, key_digests=tuple(team.key_digest(key) for key in keys)
    )


def find(index, key):
    found = index.find(team.key_digest(key))
    return found.name if found else None


def test_a_key_that_moves_to_another_team_is_found_there():
    first = make_team('a', 'k1', 'k2')
    second = make_team('b', 'k3')
    index = team_index.TeamIndex(teams=[first, second])
    moved = index.replaced(
        removed=[first, second],
        added=[make_team('a', 'k1'), make_team('b', 'k2', 'k3')],
    )
    assert find(moved, 'k2') == 'b'
    assert find(index, 'k2') == 'a'
    assert len(moved) == 2


def test_a_removed_key_is_found_no_more():
    first = make_team('a', 'k1', 'k2')
    index = team_index.TeamIndex(teams=[first])
    after = index.replaced(removed=[first], added=[make_team('a', 'k2')])
    assert find(after, 'k1') is None
    assert find(after, 'k2') == 'a'


def test_two_teams_with_one_key_are_a_problem_that_quotes_no_key():
    (problem,) = team_index.problems(
        [make_team('a', 'secret'), make_team('b', 'secret')]
    )
    assert "'a'" in problem
    assert "'b'" in problem
    assert 'secret' not in problem


def test_one_team_may_list_a_key_twice():
    assert not team_index.problems([make_team('a', 'k', 'k')])


def plan_with(teams):
    route = builders.make_route()
    plan = builders.make_plan(route)
    object.__setattr__(plan, 'teams', teams)
    return plan, route


def test_anybody_may_call_without_teams():
    plan, route = plan_with(None)
    assert access.check(plan, route, None) is None


def test_only_holders_of_keys_may_call():
    plan, route = plan_with(team_index.TeamIndex(teams=[make_team('a', 'k1')]))
    assert access.check(plan, route, None) is access.Denial.NO_KEY
    other = team.key_digest('k2')
    assert access.check(plan, route, other) is access.Denial.UNKNOWN_KEY
    assert access.check(plan, route, team.key_digest('k1')).name == 'a'


def test_a_public_route_needs_no_key_but_counts_a_known_one():
    plan, _ = plan_with(team_index.TeamIndex(teams=[make_team('a', 'k1')]))
    route = builders.make_route(public=True)
    assert access.check(plan, route, None) is None
    assert access.check(plan, route, team.key_digest('k2')) is None
    assert access.check(plan, route, team.key_digest('k1')).name == 'a'
