"""Parts of prompts with which answers have come to their end."""

import collections
import typing

MAX_PARTS = 10_000


class SoundParts:
    """Parts of prompts with which answers have come to their end.

    Such a part does not crash runners. Parts that were not seen for the
    longest time are dropped first.
    """

    __slots__ = ('_keys',)

    def __init__(self) -> None:
        self._keys: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(parts={len(self._keys)!r})'

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, key: str) -> bool:
        return key in self._keys

    def add(self, keys: typing.Iterable[str]) -> None:
        """Record the parts of an answer that came to its end."""
        for key in keys:
            self._keys[key] = None
            self._keys.move_to_end(key)
        while len(self._keys) > MAX_PARTS:
            self._keys.popitem(last=False)
