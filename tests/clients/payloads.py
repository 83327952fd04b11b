"""What clients send that don't behave: requests that never end."""

# Id of the requests that never end.
ENDLESS = 'endless'
WHOLE = 'POST /safe/x HTTP/1.1\r\nHost: h.example\r\n'
START = f'{WHOLE}Request-Id: {ENDLESS}\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'


def _head(fields, start=START):
    return f'{start}{fields}\r\n'.encode()


def chunks(size, count):
    """Return chunks of one size, without the last one."""
    return (f'{size:x}\r\n'.encode() + b'w' * size + b'\r\n') * count


def open_chunk(size, start=START):
    """One chunk, and no end."""
    return _head(CHUNKED, start) + chunks(size, 1)


def small_chunks(size, body_bytes, start=START):
    """Many small chunks, and no end."""
    return _head(CHUNKED, start) + chunks(size, body_bytes // size)


def one_byte_short(size, start=START):
    """A body with a length, but for its last byte."""
    return _head(f'Content-Length: {size}\r\n', start) + b'w' * (size - 1)


def many_fields(count, body_bytes, start=START):
    """A head of many short fields, and a body in small chunks."""
    fields = ''.join(f'a{number}: b\r\n' for number in range(count))
    return _head(CHUNKED + fields, start) + chunks(64, body_bytes // 64)


def open_head(size, start=START):
    """A head that does not end."""
    return (start + 'a: ').encode() + b'w' * size


def announced(length, sent, start=START):
    """The first part of a body of that length."""
    return _head(f'Content-Length: {length}\r\n', start) + b'w' * sent


def endless_chunk(sent, start=START):
    """The first part of a chunk of a terabyte."""
    return _head(CHUNKED, start) + b'10000000000\r\n' + b'w' * sent


def whole(body, start=START):
    """A request with its whole body."""
    return _head(f'Content-Length: {len(body)}\r\n', start) + body


def repeated(start, item, size, end):
    """A document of about this size that repeats one short item."""
    return start + item * (size // len(item)) + end


def followed(size):
    """A whole request, and at once one that lacks its last byte."""
    whole = _head('Request-Id: whole\r\nContent-Length: 0\r\n', WHOLE)
    return whole + one_byte_short(size)
