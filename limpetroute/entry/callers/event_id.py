"""Ids of streamed events, in the form ``<run>-<index>``."""

import re

_PATTERN = re.compile(r'(run-[0-9a-f]{16,64})-(\d{1,9})', re.ASCII)


def parse(text: str) -> tuple[str, int] | None:
    """Return run id and event index, or None if the text is no event id."""
    found = _PATTERN.fullmatch(text.strip())
    if found is None:
        return None
    return found[1], int(found[2])
