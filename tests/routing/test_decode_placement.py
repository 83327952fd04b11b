"""The runner that is chosen by index against a look at every runner."""

import random

import pytest

from limpetroute.routing import decode_placement
from limpetroute.routing import fleet
from limpetroute.routing import memory_forecast
from limpetroute.routing import memory_profile
from limpetroute.routing import outlier_detector
from limpetroute.routing import placement
from limpetroute.routing import reservations
from limpetroute.routing import runner_limits
from tests.routing import builders

NOW_S = 50.0


class Placing:
    """Runners in three zones with streams of all sizes."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.reserved = reservations.Reservations(engine=builders.ENGINE)
        self.outliers = outlier_detector.OutlierDetector(
            stream_count=self.reserved.uses
        )
        self.fleet = fleet.Fleet(
            reserved=self.reserved,
            outliers=self.outliers,
            limits=runner_limits.RunnerLimits(),
        )
        self.choice = decode_placement.DecodePlacement(
            engine=builders.ENGINE,
            reserved=self.reserved,
            outliers=self.outliers,
            fleet=self.fleet,
            limits=runner_limits.RunnerLimits(),
        )
        self.runners = [
            builders.make_runner(f'd{n:02}', zone=f'z{n % 3}')
            for n in range(20)
        ]
        self.fleet.refresh(self.runners, (), NOW_S)
        self.streams = {one.runner_id: [] for one in self.runners}
        self.count = 0

    def request(self):
        self.count += 1
        return builders.make_request(
            f's{self.count}',
            prompt_tokens=self.rng.randrange(100, 11_000),
            output_tokens=self.rng.randrange(4000, 9000),
            zone=f'z{self.rng.randrange(3)}',
        )

    def expected(self, request):
        """Return the best rank over all runners, looked at one by one."""
        forecast = self.reserved.forecast_memory(request, NOW_S)
        best = None
        for runner in self.runners:
            streams = self.streams[runner.runner_id]
            if len(streams) >= builders.ENGINE.slots:
                continue
            room = self.reserved.usable_tokens(len(streams) + 1)
            profile = memory_profile.MemoryProfile(streams, NOW_S)
            peak = max(
                memory_forecast.peak_tokens([*streams, forecast], NOW_S),
                profile.first_peak_tokens + forecast.prompt_tokens,
            )
            if peak > room:
                continue
            rank = room - peak
            if runner.zone == request.zone:
                rank += room * decode_placement.SAME_ZONE_BONUS
            if best is None or rank > best[0]:
                best = (rank, runner.runner_id)
        return best

    def take(self, request, runner):
        placed = placement.Placement(
            request_id=request.request_id,
            decode_id=runner.runner_id,
            prefill_id='',
        )
        self.streams[runner.runner_id].append(
            self.reserved.forecast_memory(request, NOW_S)
        )
        self.reserved.add(placed, request, sent_s=NOW_S, begins_s=NOW_S)
        self.fleet.update(NOW_S)


@pytest.mark.parametrize('seed', range(5))
def test_the_index_finds_the_runner_with_most_memory_left(seed):
    """Runners that are passed over unseen must not be better ones."""
    placing = Placing(seed)
    for _ in range(300):
        request = placing.request()
        expected = placing.expected(request)
        found = placing.choice.best(request, NOW_S, NOW_S)
        assert (found is None) == (expected is None)
        if found is None:
            continue
        assert found.runner_id == expected[1]
        placing.take(request, found)


def test_a_full_fleet_is_not_looked_at_runner_by_runner():
    """Each waiting stream was worked out for every runner on every event."""
    placing = Placing(1)
    while True:
        request = placing.request()
        found = placing.choice.best(request, NOW_S, NOW_S)
        if found is None:
            break
        placing.take(request, found)
    before = placing.choice.fit_checks
    large = builders.make_request('large', prompt_tokens=60_000)
    assert placing.choice.best(large, NOW_S, NOW_S) is None
    assert placing.choice.fit_checks == before
