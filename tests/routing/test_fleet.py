"""Which runners may be used, as they fail and come back."""

import random

from limpetroute.routing import fleet as fleet_module
from limpetroute.routing import outlier_detector
from limpetroute.routing import reservations
from limpetroute.routing import runner_limits
from tests.routing import builders
from tests.routing import work_counter


class Known:
    """A fleet of decode and prefill runners."""

    def __init__(self, decode_runners, prefill_runners=4):
        self.reserved = reservations.Reservations(engine=builders.ENGINE)
        self.outliers = outlier_detector.OutlierDetector(
            stream_count=self.reserved.uses
        )
        self.fleet = fleet_module.Fleet(
            reserved=self.reserved,
            outliers=self.outliers,
            limits=runner_limits.RunnerLimits(),
        )
        self.runners = [
            builders.make_runner(f'd{n}') for n in range(decode_runners)
        ]
        self.runners += [
            builders.make_runner(f'p{n}', builders.PREFILL)
            for n in range(prefill_runners)
        ]

    def refresh(self, now_s, changing=()):
        return self.fleet.refresh(self.runners, changing, now_s)


def test_runners_are_left_out_and_taken_back_as_they_fail():
    """A runner that is left out for good, or never, loses its streams."""
    rng = random.Random(5)
    known = Known(8)
    for step in range(600):
        now_s = step * 0.05
        name = f'{rng.choice("dp")}{rng.randrange(4)}'
        if rng.random() < 0.2:
            known.outliers.note_failure(name, now_s)
        elif rng.random() < 0.2:
            known.outliers.note_success(name)
        changing = {'d7'} if step % 50 < 10 else set()
        known.refresh(now_s, changing)
        for stage, usable in (
            (
                builders.DECODE,
                {one.runner_id for one in known.fleet.decode_runners},
            ),
            (
                builders.PREFILL,
                {one.runner_id for one in known.fleet.prefill_runners},
            ),
        ):
            ready = {
                one.runner_id
                for one in known.runners
                if one.stage is stage and one.runner_id not in changing
            }
            ejected = known.outliers.ejected(ready, now_s)
            if ejected != ready:
                assert usable == ready - ejected


def test_an_ejection_costs_no_more_on_a_larger_fleet():
    """One runner that failed had the order of all others made anew."""
    lines = []
    for decode_runners in (45, 900):
        known = Known(decode_runners)
        known.refresh(0.0)
        known.outliers.note_failure('d1', 0.0)
        counter = work_counter.WorkCounter()
        with counter.counting():
            assert known.refresh(0.1)
        lines.append(counter.lines)
    assert lines[1] <= 2 * lines[0]
