"""Updates between versions of the routing configuration."""

import hashlib

import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.routing import config_fragments
from limpetroute.routing import routes_copy

TEXTS = st.lists(st.sampled_from('abcdefgh'), max_size=12)


def copy(version, texts, array='r'):
    fragments = tuple(
        config_fragments.ConfigFragment(array, text) for text in texts
    )
    text = ''.join(texts)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return routes_copy.RoutesCopy(
        version=version, digest=digest, parts=fragments
    )


@hypothesis.given(before=TEXTS, after=TEXTS)
def test_an_update_produces_the_newer_copy(before, after):
    base = copy(1, before)
    newer = copy(2, after)
    assert base.apply(routes_copy.update_between(base, newer)) == newer


@hypothesis.given(after=TEXTS)
def test_an_update_without_a_base_applies_to_any_copy(after):
    empty = routes_copy.RoutesCopy()
    newer = copy(2, after)
    update = routes_copy.update_between(empty, newer)
    assert not update.base
    assert copy(1, 'xyz').apply(update) == newer


def test_an_update_contains_only_changed_fragments():
    many = [f'{number},' for number in range(10_000)]
    newer = [*many[:500], 'new', *many[500:]]
    update = routes_copy.update_between(copy(1, many), copy(2, newer))
    assert update.steps == (
        routes_copy.BaseRange(first=0, count=500),
        routes_copy.NewFragments(array='r', texts=('new',)),
        routes_copy.BaseRange(first=500, count=9500),
    )


def test_an_update_of_another_base_is_refused():
    update = routes_copy.update_between(copy(1, 'ab'), copy(2, 'abc'))
    with pytest.raises(routes_copy.BaseMismatchError):
        copy(1, 'xy').apply(update)


def test_an_update_to_another_document_is_refused():
    """A host must not use a configuration that was never acknowledged."""
    update = routes_copy.RoutesUpdate(
        version=2,
        digest=copy(2, 'abc').digest,
        base='',
        steps=(routes_copy.NewFragments(array='r', texts=('a', 'b')),),
    )
    with pytest.raises(routes_copy.DigestMismatchError):
        routes_copy.RoutesCopy().apply(update)
