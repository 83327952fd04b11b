"""The stand-in engine's answers, which a test can check word by word."""

import zlib


def tag_of(prompt: str) -> str:
    """Return the tag that all words of the prompt's answer carry.

    The tag depends on the prompt's first line alone, so that a
    continuation from prompt and delivered text carries it too.
    """
    first_line = prompt.split('\n', 1)[0]
    return f'{zlib.crc32(first_line.encode()):08x}'


def word(tag: str, place: int) -> str:
    """Return the answer's word at ``place``."""
    return f'{tag}.{place} '


def words_in(prompt: str, tag: str) -> int:
    """Count the answer's words that the prompt already carries."""
    return prompt.count(f'{tag}.')


def whole_answer(prompt: str, count: int) -> str:
    """Return the answer of ``count`` words that a caller must get."""
    tag = tag_of(prompt)
    return ''.join(word(tag, place) for place in range(count))
