"""Draws the requests of one case."""

import bisect
import dataclasses
import itertools
import math
import random

from limpetroute.bench import prefill_model
from limpetroute.border import experiment
from limpetroute.decisions import work

MIN_PROMPT_TOKENS = 8
CAPACITY_SAMPLES = 4000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request of the play, with what only its model knows.

    Parameters
    ----------
    item : Work
        What the router sees.
    kind : str
        Name of the class.
    answer_tokens : int
        True length of the answer.
    cancel_s : float or None
        When the caller leaves, or None.
    attempt : int
        0 for a fresh request, 1 for one that came back as told.
    """

    item: work.Work
    kind: str
    answer_tokens: int
    cancel_s: float | None = None
    attempt: int = 0


def capacity_per_s(
    shape: experiment.DeploymentBody,
    classes: list[experiment.WorkClassBody],
) -> float:
    """Return the requests a second that the fleet can serve at best.

    The least of what prefill time, slots and KV memory allow, with all
    runners busy all the time, prefixes uncached and batches full.
    """
    rng = random.Random(0)
    step_s = shape.step_s * (1 + shape.slots / shape.step_batch)
    prefill_s = 0.0
    slot_s = 0.0
    kv_s = 0.0
    for _ in range(CAPACITY_SAMPLES):
        kind = _pick_class(rng, classes)
        prompt, answer = _lengths(rng, kind)
        prefill_s += shape.prefill_overhead_s
        prefill_s += prompt / shape.prefill_tokens_per_s
        hold_s = answer * step_s
        hold_s += prompt * shape.kv_bytes_per_token / shape.link_bytes_per_s
        slot_s += hold_s
        total = prompt + kind.max_tokens
        kv_s += hold_s * total * shape.kv_bytes_per_token
    prefills = sum(pool.prefill for pool in shape.pools)
    decodes = sum(pool.decode for pool in shape.pools)
    return CAPACITY_SAMPLES * min(
        prefills / prefill_s,
        decodes * shape.slots / slot_s,
        decodes * shape.kv_capacity_bytes / kv_s,
    )


def draw(
    *,
    shape: experiment.DeploymentBody,
    classes: list[experiment.WorkClassBody],
    pattern: experiment.PatternBody,
    rate_per_s: float,
    seed: int,
) -> list[Arrival]:
    """Draw all fresh requests of one play, in order of arrival."""
    rng = random.Random(seed)
    teams = _team_weights(pattern)
    marks = list(itertools.accumulate(teams))
    found: list[Arrival] = []
    now_s = 0.0
    number = 0
    while True:
        now_s += rng.expovariate(rate_per_s * _factor(pattern, now_s))
        if now_s >= pattern.duration_s:
            return found
        number += 1
        team = bisect.bisect_left(marks, rng.random() * marks[-1])
        kind = _pick_class(rng, classes)
        found.append(
            _arrival(rng, shape, pattern, kind, f'team-{team}', number, now_s)
        )


def _factor(pattern: experiment.PatternBody, now_s: float) -> float:
    end_s = pattern.burst_at_s + pattern.burst_s
    if pattern.burst_at_s <= now_s < end_s:
        return pattern.burst_factor
    return 1.0


def _team_weights(pattern: experiment.PatternBody) -> list[float]:
    return [
        pattern.heavy_factor if number < pattern.heavy_teams else 1.0
        for number in range(pattern.teams)
    ]


def _pick_class(
    rng: random.Random, classes: list[experiment.WorkClassBody]
) -> experiment.WorkClassBody:
    weights = [kind.weight for kind in classes]
    return rng.choices(classes, weights)[0]


def _lengths(
    rng: random.Random, kind: experiment.WorkClassBody
) -> tuple[int, int]:
    prompt = rng.lognormvariate(
        math.log(kind.prompt_tokens), kind.prompt_sigma
    )
    answer = rng.lognormvariate(
        math.log(kind.answer_tokens), kind.answer_sigma
    )
    return (
        min(kind.prompt_max_tokens, max(MIN_PROMPT_TOKENS, int(prompt))),
        min(kind.max_tokens, max(1, int(answer))),
    )


def _arrival(
    rng: random.Random,
    shape: experiment.DeploymentBody,
    pattern: experiment.PatternBody,
    kind: experiment.WorkClassBody,
    team: str,
    number: int,
    now_s: float,
) -> Arrival:
    prompt, answer = _lengths(rng, kind)
    model = rng.choice(kind.models)
    if pattern.shift_at_s is not None and now_s >= pattern.shift_at_s:
        model = pattern.shift_models.get(model, model)
    cancel_s = None
    if rng.random() < pattern.cancel_fraction:
        cancel_s = now_s + rng.random() * 2 * kind.first_token_s
    item = work.Work(
        work_id=f'w{number}',
        team=team,
        model=model,
        prompt_tokens=prompt,
        max_tokens=kind.max_tokens,
        arrived_s=now_s,
        first_token_by_s=now_s + kind.first_token_s,
        token_gap_s=kind.token_gap_s,
        prefix_blocks=_blocks(rng, kind, model, prompt),
        zone=rng.choice(shape.zones),
        key=f'k{number}',
    )
    return Arrival(
        item=item, kind=kind.name, answer_tokens=answer, cancel_s=cancel_s
    )


def _blocks(
    rng: random.Random,
    kind: experiment.WorkClassBody,
    model: str,
    prompt: int,
) -> tuple[int, ...]:
    """Name the shared leading blocks; the rest is never asked again."""
    if kind.prefixes == 0:
        return ()
    weights = [
        (number + 1) ** -kind.prefix_skew for number in range(kind.prefixes)
    ]
    group = rng.choices(range(kind.prefixes), weights)[0]
    count = int(prompt * kind.prefix_share) // prefill_model.BLOCK_TOKENS
    name = hash((len(model), sum(model.encode()), group))
    return tuple(hash((name, place)) for place in range(count))
