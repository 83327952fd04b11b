"""What one runner costs the host that hears it."""

import json
import time

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import memory
from limpetroute.border import announcement
from limpetroute.border import errors
from limpetroute.runners import directory

RUNNERS = 1800
ROUNDS = 5
SLOTS_IN_USE = 20


class RunnerProbe:
    """Measures announcements: memory, CPU and size of the body."""

    def measure(self) -> list[figure.Figure]:
        """Announce the goal's runners over and over."""
        bodies = [self._body(number) for number in range(RUNNERS)]
        known = directory.Directory(timeout_s=3.0)

        def take(number: int) -> bytes:
            body = errors.parse(announcement.AnnouncementBody, bodies[number])
            known.announce(body, 0.0)
            return b''

        each, _ = memory.bytes_each(take, RUNNERS)
        begun = time.process_time()
        for _ in range(ROUNDS):
            for number in range(RUNNERS):
                take(number)
        cpu_s = (time.process_time() - begun) / (ROUNDS * RUNNERS)
        return [
            figure.Figure(
                name='runner.memory_bytes',
                value=each,
                unit='B',
                how=f'{RUNNERS} runners in the directory',
            ),
            figure.Figure(
                name='runner.announcement_cpu_us',
                value=cpu_s * 1e6,
                unit='us',
                how='validate and file one announcement, without HTTP',
            ),
            figure.Figure(
                name='runner.announcement_body_bytes',
                value=float(len(bodies[0])),
                unit='B',
                how=f'body with {SLOTS_IN_USE} runs, without headers',
            ),
        ]

    def _body(self, number: int) -> bytes:
        report = {
            'sequence': 1000,
            'age_s': 0.1,
            'running': SLOTS_IN_USE,
            'waiting': 3,
            'waiting_tokens': 12000,
            'kv_used_bytes': 6_000_000_000,
            'step_s': 0.02,
            'runs': [
                f'run-{number:08x}{place:08x}' for place in range(SLOTS_IN_USE)
            ],
        }
        body = {
            'runner_id': f'runner-{number}',
            'incarnation': 1_796_244_208_000_000_000,
            'url': f'http://127.0.{number // 250}.{number % 250}:9000',
            'role': 'decode',
            'zone': f'zone-{number % 24}',
            'models': [f'model-{number % 35}'],
            'slots': SLOTS_IN_USE,
            'kv_capacity_bytes': 8 << 30,
            'kv_bytes_per_token': 131072,
            'refuses_old_fence': True,
            'report': report,
        }
        return json.dumps(body).encode()
