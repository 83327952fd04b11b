import hypothesis
from hypothesis import strategies as st

from limpetroute.control import routes_store


@hypothesis.given(
    st.lists(st.tuples(st.integers(1, 5), st.sampled_from('xyz')), min_size=1)
)
def test_the_highest_version_keeps_its_first_content(sends):
    """Two operators send configurations at the same time.

    Later reads must return the highest version with the content that was
    first accepted for it, even if versions are sent again.
    """
    newest = None
    first = {}
    for version, text in sends:
        highest = max(first, default=0)
        if version > highest:
            first[version] = text
        newest, taken = routes_store.decide(
            newest, version=version, digest=text, text=text
        )
        highest = max(first)
        assert newest.version == taken.newest_version == highest
        assert newest.text == first[highest]
        assert taken.in_force == (
            version == highest and text == first[highest]
        )
