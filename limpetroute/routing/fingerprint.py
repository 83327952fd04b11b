"""Fingerprints of requests, and of parts of their prompts."""

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


def part_fingerprint(*, host: str, team: str, part: str) -> str:
    """Return a digest that is equal for all prompts with a part.

    Parameters
    ----------
    host : str
        Host that the caller names.
    team : str
        The caller's team, so that no team can have the parts of another one
        refused; empty if it is of none.
    part : str
        Identity of the part.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in ('part', host, team, part):
        digest.update(field.encode() + b'\0')
    return digest.hexdigest()
