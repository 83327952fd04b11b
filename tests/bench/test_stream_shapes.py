"""Streams of several teams on fleets of several shapes."""

import dataclasses

from limpetroute.bench import paired_comparison
from limpetroute.bench import stream_shapes

# Least share of a team's streams that are served, beside that of all.
FAIR_SHARE = 0.25


def test_no_team_starves_beside_a_large_one():
    """Pattern: in bursts one team sends six of ten streams.

    Two of seven decode runners are lost in the middle as well.
    """
    (shape,) = [one for one in stream_shapes.SHAPES if one.teams]
    for seed in range(3):
        assert stream_shapes.play(shape, seed).worst_team >= FAIR_SHARE


def test_a_play_with_the_same_seed_is_the_same():
    shape = dataclasses.replace(stream_shapes.SHAPES[0], streams_per_s=2.0)
    assert stream_shapes.play(shape, 1) == stream_shapes.play(shape, 1)


def test_a_comparison_pairs_the_same_seeds():
    before = [
        {'shape': 'a', 'seed': seed, 'worth': 0.5 + seed / 10}
        for seed in range(3)
    ]
    after = [{**row, 'worth': row['worth'] + 0.1} for row in before[1:]]
    (row,) = paired_comparison.compare(before, after)
    assert row.seeds == 2
    assert abs(row.change - 0.1) < 1e-9
    assert row.half_width < 1e-9
