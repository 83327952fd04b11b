"""Reserves memory of decode runners for answers that exceed estimates."""

import math

# Standard deviations of the sum of a runner's answers that are kept free; one
# sum in forty exceeds that. An overflow costs another prefill of a prompt and
# makes two streams miss their targets.
DEVIATIONS = 2.0
# Covers partly filled memory blocks and prompts that are being prefilled.
MIN_RESERVED_SHARE = 0.03
MAX_RESERVED_SHARE = 0.2


def usable_tokens(
    memory_tokens: int, streams: int, deviation_tokens: float
) -> float:
    """Return the part of a runner's memory that may be planned for.

    Pattern: answers grow beyond their estimates. Their total excess depends on
    their number and on the error of the estimates, which differs from service
    to service: it is a tenth of 135,000 tokens if answers are as long as
    prompts, and a fiftieth of 52,000 if they are a tenth as long. There, a
    fixed reserve of a tenth would leave the memory of every thirteenth stream
    unused.

    Parameters
    ----------
    memory_tokens : int
        Memory of the decode runner.
    streams : int
        Number of its streams.
    deviation_tokens : float
        Standard deviation of an answer from its estimate.
    """
    reserved = DEVIATIONS * math.sqrt(streams) * deviation_tokens
    share = min(
        MAX_RESERVED_SHARE, max(MIN_RESERVED_SHARE, reserved / memory_tokens)
    )
    return memory_tokens * (1 - share)
