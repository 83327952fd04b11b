"""Hashes the leading blocks of a prompt, as prefix caches do."""

import xxhash

BLOCK_BYTES = 256
MAX_BLOCKS = 512
BYTES_PER_TOKEN = 4


def prefix_blocks(prompt: bytes) -> tuple[int, ...]:
    """Hash each complete leading block together with all before it.

    Two prompts share a cached prefix as far as their hashes are equal.

    Parameters
    ----------
    prompt : bytes
        The prompt in UTF-8.

    Returns
    -------
    tuple of int
        One 64-bit hash per block, at most ``MAX_BLOCKS``.
    """
    blocks = []
    state = xxhash.xxh3_64()
    whole = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for number in range(whole):
        start = number * BLOCK_BYTES
        state.update(prompt[start : start + BLOCK_BYTES])
        blocks.append(state.intdigest())
    return tuple(blocks)


def estimate_tokens(prompt: bytes) -> int:
    """Estimate the length of a prompt in tokens, at least one."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))
