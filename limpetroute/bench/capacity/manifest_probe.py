"""What one manifest of goal size costs."""

import hashlib
import json
import time

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import goal as goal_module
from limpetroute.bench.capacity import memory
from limpetroute.border import errors
from limpetroute.border import manifest

ROUNDS = 3


class ManifestProbe:
    """Measures a manifest of 13,000 teams and 35 models."""

    def measure(self) -> list[figure.Figure]:
        """Validate it a few times and keep one."""
        goal = goal_module.Goal()
        data = self._body(goal)
        begun = time.process_time()
        for _ in range(ROUNDS):
            errors.parse(manifest.ManifestBody, data)
        cpu_s = (time.process_time() - begun) / ROUNDS
        each, _ = memory.bytes_each(
            lambda number: errors.parse(manifest.ManifestBody, data), ROUNDS
        )
        how = f'{goal.teams} teams, {goal.models} models'
        return [
            figure.Figure(
                name='manifest.body_bytes',
                value=float(len(data)),
                unit='B',
                how=how,
            ),
            figure.Figure(
                name='manifest.validate_cpu_ms',
                value=cpu_s * 1e3,
                unit='ms',
                how=how,
            ),
            figure.Figure(
                name='manifest.memory_bytes', value=each, unit='B', how=how
            ),
            figure.Figure(
                name='team.memory_bytes',
                value=each / goal.teams,
                unit='B',
                how=how,
            ),
        ]

    def _body(self, goal: goal_module.Goal) -> bytes:
        models = [
            {'name': f'model-{number}', 'version': '1'}
            for number in range(goal.models)
        ]
        teams = [
            {
                'name': f'team-{number}',
                'token_sha256': hashlib.sha256(b'%d' % number).hexdigest(),
            }
            for number in range(goal.teams)
        ]
        body = {'number': 1, 'models': models, 'teams': teams}
        return json.dumps(body).encode()
