"""The software version of a stream, in a header between hosts.

The leader's answer names the version that it has placed a stream for. An
entry host names it for a stream that it passes on.
"""

import json

NAME = 'Limpetroute-Stream-Version'
# Present, with any value, if the leader rejects a stream because it does not
# know the version. Hosts of earlier releases refuse unknown fields in a body.
UNKNOWN = 'Limpetroute-Stream-Version-Unknown'


def encode(version: str) -> str:
    """Return the text of the header; a version may have any characters."""
    return json.dumps(version)


def decode(text: str | None) -> str | None:
    """Return the version in a header, or None without a header.

    Raises
    ------
    ValueError
        If the header contains no version.
    """
    if text is None:
        return None
    version = json.loads(text)
    if not isinstance(version, str):
        raise ValueError(f'no version: {text[:80]!r}')
    return version
