"""How much of a writer's memory is kept for answers that grow longer."""

import math

# Deviations of the sum of a writer's answers that are kept free: one sum in
# forty outgrows that. An overflow costs a prompt read again, and the
# targets of two streams.
DEVIATIONS = 2.0
# Blocks of memory that are not full, and what is read beside.
MIN_RESERVED_SHARE = 0.03
MAX_RESERVED_SHARE = 0.2


def usable_tokens(
    memory_tokens: int, streams: int, deviation_tokens: float
) -> float:
    """Return the memory that may be planned for.

    Pattern: answers grow beyond what was expected of them. By how much
    together depends on their number and on how far estimates are off,
    which differs from service to service: of 135,000 tokens a tenth,
    where answers are as long as prompts; of 52,000 a fiftieth, where they
    are a tenth of them. A fixed tenth left room for every thirteenth
    stream unused there.

    Parameters
    ----------
    memory_tokens : int
        All memory of a writer.
    streams : int
        Streams that it has.
    deviation_tokens : float
        Mean deviation of one answer from what was expected.
    """
    reserved = DEVIATIONS * math.sqrt(streams) * deviation_tokens
    share = min(
        MAX_RESERVED_SHARE, max(MIN_RESERVED_SHARE, reserved / memory_tokens)
    )
    return memory_tokens * (1 - share)
