"""Measures what one event costs the scheduler of a full fleet."""

import dataclasses
import statistics
import time

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import placement
from limpetroute.routing import runner_info
from limpetroute.routing import service as service_module
from limpetroute.routing import stream_scheduler

FLEETS = (9, 45, 360, 1800)
WAITING = (0, 10, 100, 1000)
EVENTS = 400
EVENT_INTERVAL_S = 0.003
READER_PART = 1 / 3
STREAMS_PER_RUNNER = 6
ENGINE = service_module.Engine(
    slots=64,
    memory_tokens=38_404,
    tokens_per_event=8,
    prefill_result_ttl_s=0.5,
    stage_change_s=6.0,
)
PROMPT_TOKENS = 5000
OUTPUT_TOKENS = 550
MILLION = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerCost:
    """What one event costs the scheduler of a full fleet.

    Parameters
    ----------
    runners, waiting : int
        Size of the fleet, and streams that wait.
    median_us, p99_us : float
        Time of a decision in microseconds.
    room_checks : float
        Mean number of runners whose room is worked out for a decision.
    """

    runners: int
    waiting: int
    median_us: float
    p99_us: float
    room_checks: float


class _FullFleet:
    """Runners without room, and streams that wait for some."""

    def __init__(self, runners: int, waiting: int) -> None:
        self.scheduler = stream_scheduler.StreamScheduler(engine=ENGINE)
        self._now_s = 0.0
        self._asked = 0
        self._held: list[str] = []
        readers = max(1, round(runners * READER_PART))
        self._runners = [
            _runner(f'p{n}', stage_module.Stage.PREFILL)
            for n in range(readers)
        ]
        for n in range(runners - readers):
            one = _runner(f'd{n}', stage_module.Stage.DECODE)
            self._runners.append(one)
            for slot in range(STREAMS_PER_RUNNER):
                self._adopt(f'{one.runner_id}-{slot}', one.runner_id)
        for _ in range(waiting):
            self._ask()
        self._decide()

    def times_s(self) -> list[float]:
        """Return the time of each decision of a steady load."""
        found = []
        for _ in range(EVENTS // 2):
            self._ask()
            found.append(self._decide())
            self._end()
            found.append(self._decide())
            self._now_s += EVENT_INTERVAL_S
        return found

    def _adopt(self, name: str, decode_id: str) -> None:
        self._held.append(name)
        place = placement.Placement(
            request_id=name, decode_id=decode_id, prefill_id=''
        )
        self.scheduler.restore(place, _request(name), self._now_s)

    def _ask(self) -> None:
        self._asked += 1
        self.scheduler.submit(_request(f's{self._asked}'), self._now_s)

    def _end(self) -> None:
        if not self._held:
            return
        end = placement.Release(
            request_id=self._held.pop(0),
            output_tokens=OUTPUT_TOKENS,
            decode_s=3.4,
            whole=True,
        )
        self.scheduler.release(end, self._now_s)

    def _decide(self) -> float:
        begun_s = time.perf_counter()
        answers = self.scheduler.decide(self._runners, self._now_s)
        took_s = time.perf_counter() - begun_s
        for one in answers:
            if isinstance(one, placement.Placement):
                self._held.append(one.request_id)
                self.scheduler.note_prefill_done(
                    one.request_id, 0, self._now_s
                )
        return took_s


def measure() -> list[SchedulerCost]:
    """Return the cost of a decision by runners and waiting streams."""
    found = []
    for runners in FLEETS:
        for waiting in WAITING:
            fleet = _FullFleet(runners, waiting)
            checks = fleet.scheduler.fit_checks
            times_s = sorted(fleet.times_s())
            checks = fleet.scheduler.fit_checks - checks
            found.append(
                SchedulerCost(
                    runners=runners,
                    waiting=waiting,
                    median_us=statistics.median(times_s) * MILLION,
                    p99_us=times_s[len(times_s) * 99 // 100] * MILLION,
                    room_checks=checks / len(times_s),
                )
            )
    return found


def _runner(
    runner_id: str, stage: stage_module.Stage
) -> runner_info.RunnerInfo:
    return runner_info.RunnerInfo(
        runner_id=runner_id,
        service='model',
        address='127.0.0.1:1',
        zone='',
        slots=ENGINE.slots,
        ready=True,
        stage=stage,
    )


def _request(name: str) -> placement.PlacementRequest:
    return placement.PlacementRequest(
        request_id=name,
        service='model',
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=OUTPUT_TOKENS,
        most_output_tokens=2 * OUTPUT_TOKENS,
        waited_s=0.0,
        target_s=60.0,
        patience_s=90.0,
        pause_target_s=0.3,
        silence_s=90.0,
    )
