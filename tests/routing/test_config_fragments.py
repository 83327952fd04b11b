"""Splitting of documents into fragments."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.routing import config_fragments

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(st.text(max_size=4), JSON, max_size=5)


@hypothesis.given(
    document=DOCUMENTS, indent=st.sampled_from([None, 1]), ascii_=st.booleans()
)
def test_the_fragments_add_up_to_the_document(document, indent, ascii_):
    text = json.dumps(document, indent=indent, ensure_ascii=ascii_)
    fragments = config_fragments.split(text)
    assert ''.join(fragment.text for fragment in fragments) == text
    elements = {}
    for fragment in fragments:
        if fragment.array:
            elements.setdefault(fragment.array, []).append(
                json.loads(fragment.element)
            )
    for key, found in elements.items():
        assert document[key] == found


@hypothesis.given(text=st.text(alphabet='{}[],:"a \\1', max_size=20))
def test_any_text_can_be_split(text):
    assert (
        ''.join(fragment.text for fragment in config_fragments.split(text))
        == text
    )


def test_an_element_is_a_fragment():
    fragments = config_fragments.split('{"v":1,"a":[{"x":[1,2]}, "b"],"c":{}}')
    assert fragments == (
        ('', '{"v":1,"a":['),
        ('a', '{"x":[1,2]}, '),
        ('a', '"b"'),
        ('', '],"c":{}}'),
    )
    assert [fragment.element for fragment in fragments[1:3]] == [
        '{"x":[1,2]}',
        '"b"',
    ]


@pytest.mark.parametrize(
    'text',
    [
        '',
        'words',
        '[1]',
        '{"a":[1],"a":[2]}',
        '{"a":[1,]}',
        '{"a":[1 2]}',
        '{"a":[1]} {}',
        '{"a":' + '[' * 100_000,
    ],
)
def test_any_other_document_is_one_fragment(text):
    assert config_fragments.split(text) == (('', text),)
