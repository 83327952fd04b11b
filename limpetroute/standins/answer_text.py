"""Deterministic answers of the stand-in engine, for checks in tests."""

import zlib


def tag_of(prompt: str) -> str:
    """Return the tag in every word of the prompt's answer.

    The tag depends only on the prompt's first line, so a continuation of
    the prompt with delivered text has the same tag.
    """
    first_line = prompt.split('\n', 1)[0]
    return f'{zlib.crc32(first_line.encode()):08x}'


def word(tag: str, place: int) -> str:
    """Return the word of the answer at index ``place``."""
    return f'{tag}.{place} '


def words_in(prompt: str, tag: str) -> int:
    """Count the words of the answer that the prompt already contains."""
    return prompt.count(f'{tag}.')


def whole_answer(prompt: str, count: int) -> str:
    """Return the expected answer of ``count`` words."""
    tag = tag_of(prompt)
    return ''.join(word(tag, place) for place in range(count))
