"""Estimates how long streams pause while their runner prefills a prompt."""

# Time that a decode runner spends on a chunk of the prompt between two decode
# steps (a quarter of the usual chunk, at half the speed).
CHUNK_S = 0.01
# Streams that decode at less than this share of their speed during a prefill
# exceed the allowed gap between events: an event of 50 ms then takes a quarter
# of a second, and some events take that long without a prefill.
MIN_PACE = 0.2
# Share of the longest allowed gap that is planned for, because gaps differ by
# a twentieth from one prompt to the next.
PLANNED_SHARE = 0.95


def pace(tokens_per_s: float) -> float:
    """Return the decode speed during a prefill as a share of the usual one.

    Between two chunks of the prompt, the runner makes one token for each of
    its streams. If a token takes six milliseconds, streams decode at a third
    of their speed; if it takes less than one, they almost stop. The pace is
    not learned from measured gaps, because most long gaps have other causes;
    after a fault, a learned pace kept all prompts away from the only runner
    left.

    Parameters
    ----------
    tokens_per_s : float
        Measured decode speed of a stream.
    """
    step_s = 1 / tokens_per_s
    return step_s / (step_s + CHUNK_S)


def is_pace_sufficient(pace_beside: float) -> bool:
    """Return whether streams progress while their runner prefills a prompt."""
    return pace_beside >= MIN_PACE


def pause_s(prefill_s: float, *, event_s: float, pace_beside: float) -> float:
    """Return the longest gap between two events during a prefill.

    An event of seventy tokens is delayed until the whole prompt is prefilled;
    an event of eight tokens needs only eight chunks of it.

    Parameters
    ----------
    prefill_s : float
        Duration of the prefill.
    event_s : float
        Usual time between two events.
    pace_beside : float
        Decode speed during the prefill as a share of the usual one.
    """
    return min(event_s / pace_beside, event_s + prefill_s * (1 - pace_beside))


def is_too_long(pause_s: float, limit_s: float) -> bool:
    """Return whether a planned gap may exceed the longest allowed one."""
    return pause_s > limit_s * PLANNED_SHARE
