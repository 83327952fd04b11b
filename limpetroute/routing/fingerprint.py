"""What makes two attempts of callers the same request."""

import hashlib

DIGEST_BYTES = 16


def fingerprint(*, host: str, path: str, caller: str, body: bytes) -> str:
    """Return what all attempts at one request share.

    Parameters
    ----------
    host : str
        Host that the caller names.
    path : str
        Path without the query.
    caller : str
        The caller's credentials; empty where callers have none.
    body : bytes
        The whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host, path, caller):
        # Neither a host nor a path nor a header value holds this byte.
        digest.update(part.encode() + b'\0')
    digest.update(body)
    return digest.hexdigest()
