"""Splits a JSON document into fragments that change independently."""

import json
import re
import typing

_SPACE = re.compile(r'[ \t\n\r]*')
_DECODER = json.JSONDecoder()


class ConfigFragment(typing.NamedTuple):
    """A fragment of a document.

    Parameters
    ----------
    array : str
        Key of the top-level array whose element this is; empty for the
        text between elements.
    text : str
        The text, with the comma that follows an element.
    """

    array: str
    text: str

    @property
    def element(self) -> str:
        """The element alone, without a comma."""
        return self.text.strip().removesuffix(',').rstrip()


def split(text: str) -> tuple[ConfigFragment, ...]:
    """Split a document into fragments whose texts add up to the document.

    Each element of a top-level array is a fragment of its own. A document
    that is not a JSON object, or has one key twice, is one fragment as a
    whole: parsers differ on which of the two values counts.
    """
    try:
        fragments = tuple(_Splitter(text).run())
    except (ValueError, RecursionError):
        return (ConfigFragment('', text),)
    return fragments


class _Splitter:
    def __init__(self, text: str) -> None:
        self._text = text
        self._offset = 0
        self._fragment_start = 0
        self._fragments: list[ConfigFragment] = []
        self._keys: set[str] = set()

    def run(self) -> list[ConfigFragment]:
        self._consume('{')
        if self._peek() != '}':
            self._read_member()
            while self._peek() == ',':
                self._consume(',')
                self._read_member()
        self._consume('}')
        if self._peek():
            raise ValueError('unexpected text after the object')
        self._cut_off('', len(self._text))
        return self._fragments

    def _read_member(self) -> None:
        self._peek()
        key, self._offset = _DECODER.raw_decode(self._text, self._offset)
        if not isinstance(key, str) or key in self._keys:
            raise ValueError(f'key is not a string or is repeated: {key!r}')
        self._keys.add(key)
        self._consume(':')
        if self._peek() == '[':
            self._read_array(key)
            return
        _, self._offset = _DECODER.raw_decode(self._text, self._offset)

    def _read_array(self, key: str) -> None:
        self._consume('[')
        self._cut_off('', self._offset)
        while self._peek() != ']':
            _, self._offset = _DECODER.raw_decode(self._text, self._offset)
            if self._peek() == ',':
                self._offset += 1
                if self._peek() == ']':
                    raise ValueError('no element after a comma')
            elif self._peek() != ']':
                raise ValueError('no comma between two elements')
            self._cut_off(key, self._offset)
        self._offset += 1

    def _cut_off(self, array: str, end: int) -> None:
        self._fragments.append(
            ConfigFragment(array, self._text[self._fragment_start : end])
        )
        self._fragment_start = end

    def _consume(self, sign: str) -> None:
        if self._peek() != sign:
            raise ValueError(f'expected {sign!r} at {self._offset}')
        self._offset += 1

    def _peek(self) -> str:
        """Return the next non-space character, or an empty string."""
        found = _SPACE.match(self._text, self._offset)
        assert found is not None
        self._offset = found.end()
        return self._text[self._offset : self._offset + 1]
