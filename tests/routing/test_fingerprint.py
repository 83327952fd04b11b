"""Fingerprints identify repeated attempts at the same request."""

import dataclasses

import pytest

from limpetroute.routing import fingerprint


@dataclasses.dataclass(frozen=True)
class Parts:
    host: str = 'h.example'
    path: str = '/a/1'
    caller: str = 'Token k'
    body: bytes = b'prompt'

    def fingerprint(self):
        return fingerprint.fingerprint(**dataclasses.asdict(self))


def test_equal_parts_have_equal_fingerprints():
    assert Parts().fingerprint() == Parts().fingerprint()


@pytest.mark.parametrize(
    'parts',
    [
        Parts(host='i.example'),
        Parts(path='/a/2'),
        Parts(caller=''),
        Parts(body=b'prompt2'),
        Parts(path='/a/', caller='1Token k'),
        Parts(caller='Token ', body=b'kprompt'),
    ],
)
def test_different_parts_have_different_fingerprints(parts):
    assert parts.fingerprint() != Parts().fingerprint()
