"""What an entry host tells the leader beside a stream to place."""

import json

import pytest

from limpetroute.border import hints_header
from limpetroute.border import placement_bodies
from limpetroute.routing import placement
from limpetroute.routing import placement_hints
from limpetroute.routing import runner_incarnation
from tests.routing import builders

HINTS = placement_hints.PlacementHints(
    backoffs_s={'d0': 1.25},
    leaving=(
        runner_incarnation.RunnerIncarnation(runner_id='d1', started_ms=7),
    ),
    is_prefilled=True,
)
# Fields that leaders of earlier releases accept.
KNOWN_FIELDS = set(placement_bodies.PlacementRequestBody.model_fields)


def test_hints_come_through():
    assert hints_header.decode(hints_header.encode(HINTS)[hints_header.NAME])
    (text,) = hints_header.encode(HINTS).values()
    assert hints_header.decode(text) == HINTS


def test_a_host_without_hints_sends_no_header():
    assert hints_header.encode(placement_hints.PlacementHints()) == {}
    assert hints_header.decode(None) == placement_hints.PlacementHints()


# Guards against a leader of an earlier release that refuses the request, or
# chooses a runner that the host must not use.
def test_a_request_has_no_field_that_earlier_releases_do_not_know():
    request = builders.make_request('s', avoid=('t', *HINTS.unavailable))
    body = placement.to_body(HINTS.apply(request, 5.0))
    assert set(body) <= KNOWN_FIELDS
    body = placement.to_body(request)
    assert set(body) <= KNOWN_FIELDS
    assert set(body['avoid']) == {'t', 'd0', 'd1'}


def test_the_leader_knows_when_each_backoff_ends():
    request = builders.make_request('s', avoid=('t', *HINTS.unavailable))
    applied = HINTS.apply(request, 5.0)
    assert applied.blocked_until_s == {'d0': 6.25}
    assert not applied.accepts('d0', 6.2)
    assert applied.accepts('d0', 6.25)
    assert not applied.accepts('t', 100.0)
    assert not applied.accepts('d1', 100.0)


def test_fields_of_later_releases_are_ignored():
    text = json.dumps({'backoffs_s': {'d0': 1.0}, 'reasons': {'d0': 'full'}})
    assert hints_header.decode(text).backoffs_s == {'d0': 1.0}


@pytest.mark.parametrize(
    'text', ['', 'x', '[]', '{"backoffs_s": {"d0": -1}}', '{"leaving": [3]}']
)
def test_invalid_hints_are_refused(text):
    with pytest.raises(ValueError, match='validation error'):
        hints_header.decode(text)
