"""The ids of streamed events: ``<run>-<index>``."""

import re

_PATTERN = re.compile(r'(run-[0-9a-f]{16,64})-(\d{1,9})', re.ASCII)


def parse(text: str) -> tuple[str, int] | None:
    """Return the run and the index, or None if it is no event id."""
    found = _PATTERN.fullmatch(text.strip())
    if found is None:
        return None
    return found[1], int(found[2])
