import hypothesis
from hypothesis import strategies as st
import pytest

from limpetroute.server import chunked_decoder


def _encode(chunks):
    parts = [f'{len(one):x}\r\n'.encode() + one + b'\r\n' for one in chunks]
    return b''.join(parts) + b'0\r\n\r\n'


def _decode(data, cuts):
    decoder = chunked_decoder.ChunkedDecoder()
    body = b''
    start = 0
    for cut in [*sorted(cuts), len(data)]:
        if decoder.is_complete:
            return body, decoder.rest + data[start:]
        body += decoder.feed(data[start:cut])
        start = cut
    assert decoder.is_complete
    return body, decoder.rest


# Guards against bytes of a body, or of the request after it, that are lost
# where a read ends inside the framing.
@hypothesis.given(
    chunks=st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    after=st.binary(max_size=8),
    data=st.data(),
)
def test_a_body_is_the_same_however_it_arrives(chunks, after, data):
    encoded = _encode(chunks) + after
    cuts = data.draw(st.lists(st.integers(0, len(encoded)), max_size=8))
    assert _decode(encoded, cuts) == (b''.join(chunks), after)


# Guards against framing that another recipient might read in another way.
@pytest.mark.parametrize(
    'data',
    [
        b'\r\n',
        b'+1\r\nx\r\n',
        b'0x1\r\nx\r\n',
        b' 1\r\nx\r\n',
        b'1_0\r\nx\r\n',
        b'1;a=b\r\nx\r\n',
        b'-1\r\nx\r\n',
        b'1\r\nxy\r\n',
        b'1\r\nx\n\n',
        b'0\r\na: b\r\n\r\n',
        b'1' * 64,
    ],
)
def test_other_framing_is_refused(data):
    decoder = chunked_decoder.ChunkedDecoder()
    with pytest.raises(chunked_decoder.ChunkedFramingError):
        decoder.feed(data)
        decoder.feed(b'')


def test_the_rest_of_a_chunk_is_announced():
    decoder = chunked_decoder.ChunkedDecoder()
    assert decoder.feed(b'ff\r\nabc') == b'abc'
    assert decoder.left_bytes == 252
