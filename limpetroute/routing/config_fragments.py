"""Cuts a JSON document into parts that change one by one."""

import json
import re
import typing

_SPACE = re.compile(r'[ \t\n\r]*')
_DECODER = json.JSONDecoder()


class ConfigFragment(typing.NamedTuple):
    """A piece of a document.

    Parameters
    ----------
    array : str
        Key of the top-level array whose element this is; empty for what
        stands between elements.
    text : str
        The piece, with the comma that follows an element.
    """

    array: str
    text: str

    @property
    def element(self) -> str:
        """The element alone."""
        return self.text.strip().removesuffix(',').rstrip()


def split(text: str) -> tuple[ConfigFragment, ...]:
    """Cut a document; the parts' texts, joined, are the document.

    Each element of a top-level array is a part of its own. A document
    that is no such object, or has an array under one key twice, is one
    part as a whole: readers differ on which of the two counts.
    """
    try:
        parts = tuple(_Splitter(text).run())
    except (ValueError, RecursionError):
        return (ConfigFragment('', text),)
    return parts


class _Splitter:
    def __init__(self, text: str) -> None:
        self._text = text
        self._at = 0
        self._cut = 0
        self._parts: list[ConfigFragment] = []
        self._keys: set[str] = set()

    def run(self) -> list[ConfigFragment]:
        self._take('{')
        if self._peek() != '}':
            self._member()
            while self._peek() == ',':
                self._take(',')
                self._member()
        self._take('}')
        if self._peek():
            raise ValueError('something follows the object')
        self._cut_off('', len(self._text))
        return self._parts

    def _member(self) -> None:
        self._peek()
        key, self._at = _DECODER.raw_decode(self._text, self._at)
        if not isinstance(key, str) or key in self._keys:
            raise ValueError(f'no key of its own: {key!r}')
        self._keys.add(key)
        self._take(':')
        if self._peek() == '[':
            self._array(key)
            return
        _, self._at = _DECODER.raw_decode(self._text, self._at)

    def _array(self, key: str) -> None:
        self._take('[')
        self._cut_off('', self._at)
        while self._peek() != ']':
            _, self._at = _DECODER.raw_decode(self._text, self._at)
            if self._peek() == ',':
                self._at += 1
                if self._peek() == ']':
                    raise ValueError('nothing follows a comma')
            elif self._peek() != ']':
                raise ValueError('elements stand side by side')
            self._cut_off(key, self._at)
        self._at += 1

    def _cut_off(self, array: str, end: int) -> None:
        self._parts.append(ConfigFragment(array, self._text[self._cut : end]))
        self._cut = end

    def _take(self, sign: str) -> None:
        if self._peek() != sign:
            raise ValueError(f'no {sign!r} at {self._at}')
        self._at += 1

    def _peek(self) -> str:
        """Return the next character that is no space; nothing at the end."""
        found = _SPACE.match(self._text, self._at)
        assert found is not None
        self._at = found.end()
        return self._text[self._at : self._at + 1]
