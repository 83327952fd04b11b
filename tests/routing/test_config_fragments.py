"""Documents are cut into parts and put together again."""

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
def test_the_parts_are_the_document(document, indent, ascii_):
    text = json.dumps(document, indent=indent, ensure_ascii=ascii_)
    parts = config_fragments.split(text)
    assert ''.join(part.text for part in parts) == text
    elements = {}
    for part in parts:
        if part.array:
            elements.setdefault(part.array, []).append(
                json.loads(part.element)
            )
    for key, found in elements.items():
        assert document[key] == found


@hypothesis.given(text=st.text(alphabet='{}[],:"a \\1', max_size=20))
def test_any_text_can_be_cut(text):
    assert ''.join(part.text for part in config_fragments.split(text)) == text


def test_an_element_is_a_part():
    parts = config_fragments.split('{"v":1,"a":[{"x":[1,2]}, "b"],"c":{}}')
    assert parts == (
        ('', '{"v":1,"a":['),
        ('a', '{"x":[1,2]}, '),
        ('a', '"b"'),
        ('', '],"c":{}}'),
    )
    assert [part.element for part in parts[1:3]] == ['{"x":[1,2]}', '"b"']


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
def test_what_is_no_plain_object_is_one_part(text):
    assert config_fragments.split(text) == (('', text),)
