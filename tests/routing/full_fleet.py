"""A large fleet in a burst."""

import dataclasses

from limpetroute.routing import placement
from limpetroute.routing import stream_scheduler
from tests.routing import builders

# Events of eight tokens and memory for some seven streams of a runner.
ENGINE = dataclasses.replace(
    builders.ENGINE, slots=64, memory_tokens=38_404, tokens_per_event=8
)


class FullFleet:
    """A fleet whose runners are full, and streams that wait."""

    def __init__(self, runners, waiting):
        self.now_s = 0.0
        self.scheduler = stream_scheduler.StreamScheduler(engine=ENGINE)
        prefill_runners = max(1, runners // 3)
        self.runners = [
            builders.make_runner(f'p{n}', builders.PREFILL)
            for n in range(prefill_runners)
        ]
        self.runners += [
            builders.make_runner(f'd{n}')
            for n in range(runners - prefill_runners)
        ]
        self.held = []
        self.asked = 0
        for number, runner in enumerate(self.runners[prefill_runners:]):
            for n in range(6):
                self._adopt(f'h{number}-{n}', runner.runner_id)
        self.now_s = 1.0
        while self.scheduler.waiting < waiting:
            self.submit()
        self.decide()
        self.now_s += 0.01
        assert self.scheduler.waiting == waiting

    def _adopt(self, name, decode_id):
        self.held.append(name)
        self.scheduler.restore(
            placement.Placement(
                request_id=name, decode_id=decode_id, prefill_id=''
            ),
            self._request(name),
            self.now_s,
        )

    def _request(self, name):
        return builders.make_request(
            name,
            output_tokens=550,
            most_output_tokens=1100,
            target_s=60.0,
            patience_s=90.0,
            silence_s=90.0,
            pause_target_s=0.3,
        )

    def submit(self):
        self.asked += 1
        self.scheduler.submit(self._request(f's{self.asked}'), self.now_s)

    def end(self):
        end = placement.Release(
            request_id=self.held.pop(0),
            output_tokens=550,
            decode_s=3.4,
            whole=True,
        )
        self.scheduler.release(end, self.now_s)

    def decide(self):
        answers = self.scheduler.decide(self.runners, self.now_s)
        placed = [
            one for one in answers if isinstance(one, placement.Placement)
        ]
        for one in placed:
            self.held.append(one.request_id)
            self.scheduler.note_prefill_done(one.request_id, 0, self.now_s)
        return answers
