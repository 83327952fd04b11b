"""The most that one decode runner can serve on time."""

import dataclasses
import typing

from limpetroute.bench import engine_shape


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """A stream that asks for a lone runner.

    Parameters
    ----------
    prompt_tokens, tokens : int
        Length of its prompt and of its answer.
    worth : float
        What its answer is worth on time.
    """

    prompt_tokens: int
    tokens: int
    worth: float


def busy_s(demand: Demand, shape: engine_shape.EngineShape) -> float:
    """Return the time of the runner that a stream takes.

    That is the time in which its prompt is read, when no other stream goes
    on, and its share of the steps with all slots taken.
    """
    read_s = demand.prompt_tokens / shape.self_read_tokens_per_s
    step_s = shape.step_of_s(shape.slots)
    return read_s + demand.tokens * step_s / shape.slots


def most_worth(
    demands: typing.Iterable[Demand],
    shape: engine_shape.EngineShape,
    time_s: float,
) -> float:
    """Return the worth that no order of service can exceed.

    All streams are known ahead, none waits for another, and one may be
    served in part: a knapsack filled by worth for each second. Late answers
    are not counted.
    """
    left_s = time_s
    worth = 0.0
    costs = [(one.worth / busy_s(one, shape), one) for one in demands]
    for worth_per_s, one in sorted(
        costs, key=lambda pair: pair[0], reverse=True
    ):
        took_s = min(left_s, busy_s(one, shape))
        worth += took_s * worth_per_s
        left_s -= took_s
        if left_s <= 0:
            break
    return worth
