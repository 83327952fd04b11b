"""How long a decode runner's streams pause while it reads a prompt."""

# Between two steps of its streams, a decode runner reads a piece of the
# prompt for this long (a quarter of the usual piece, at half the speed).
CHUNK_S = 0.01
# Streams that go on at less than this part of their speed beside a reading
# pause for longer than their events may: an event of 50 ms then takes a
# quarter of a second, and some do without a reading.
MIN_PACE = 0.2
# Part of the longest good pause that is planned for: pauses differ by a
# twentieth from one prompt to the next.
PLANNED_SHARE = 0.95


def pace(tokens_per_s: float) -> float:
    """Return how fast streams go on beside a reading.

    Between two pieces of the prompt, the runner makes one token for each
    of its streams. Where a token takes six milliseconds, they go on at a
    third of their speed; where it takes less than one, they all but stand
    still. Not learned from pauses: most long ones have other causes, and
    after a fault they kept all prompts away from a lone runner.

    Parameters
    ----------
    tokens_per_s : float
        How fast a stream is written, as measured.
    """
    step_s = 1 / tokens_per_s
    return step_s / (step_s + CHUNK_S)


def is_pace_sufficient(pace_beside: float) -> bool:
    """Return whether streams go on while their runner reads a prompt."""
    return pace_beside >= MIN_PACE


def pause_s(prefill_s: float, *, event_s: float, pace_beside: float) -> float:
    """Return the longest time between two events beside a reading.

    An event that has seventy tokens waits until the whole prompt is read;
    one that has eight comes after eight pieces of it.

    Parameters
    ----------
    read_s : float
        How long the reading takes.
    event_s : float
        The usual time between two events.
    pace_beside : float
        How fast streams go on, as a part of their usual speed.
    """
    return min(event_s / pace_beside, event_s + prefill_s * (1 - pace_beside))


def is_too_long(pause_s: float, limit_s: float) -> bool:
    """Return whether a planned pause may exceed the longest good one."""
    return pause_s > limit_s * PLANNED_SHARE
