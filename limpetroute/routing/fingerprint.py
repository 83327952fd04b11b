"""Fingerprint that identifies repeated attempts at the same request."""

import hashlib

DIGEST_BYTES = 16


def fingerprint(*, host: str, path: str, caller: str, body: bytes) -> str:
    """Return a digest that is equal for all attempts at one request.

    Parameters
    ----------
    host : str
        Host that the caller names.
    path : str
        Path without the query.
    caller : str
        The caller's team, or the digest of its credentials; empty if it
        has neither.
    body : bytes
        The whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host, path, caller):
        # No host, path or header value contains a zero byte, so it
        # separates the parts unambiguously.
        digest.update(part.encode() + b'\0')
    digest.update(body)
    return digest.hexdigest()
