"""Documents that take many times their size to read."""

import pytest

from limpetroute.border import json_size
from limpetroute.platform import routes_codec

START = b'{"version":1,"services":[],"routes":['


# Guards against documents whose values or errors fill the memory.
@pytest.mark.parametrize(
    'document',
    [
        START + b'{},' * 100_000 + b'{}]}',
        START + b'{},' * 700_000 + b'{}]}',
        b'{"x":[' + b'[],' * 1_000_000 + b'1]}',
    ],
)
def test_a_hostile_document_gets_a_short_error(document):
    with pytest.raises(routes_codec.InvalidRoutesError) as caught:
        routes_codec.decode(document)
    assert len(str(caught.value)) < 10_000


# Guards against long texts that are taken for many values.
def test_commas_in_text_are_no_values():
    text = b'{"note":"' + b'a, [{\\"b\\"}], ' * 100_000 + b'"}'
    json_size.check(text, 10)
    with pytest.raises(json_size.TooManyValuesError):
        json_size.check(text + b'[1,2,3,4,5,6,7,8,9,10,11]', 10)
