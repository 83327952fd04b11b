"""What callers and operators saw, against what runners ran."""

import collections
import dataclasses

from tests.soak import runner as runner_module

# Statuses that promise that a request did not run.
NOT_RUN = (401, 429, 503)


@dataclasses.dataclass
class Answer:
    request_id: str
    kind: str
    status: int = 0
    body: bytes = b''
    whole: bool = False


class Promises:
    """Collects broken promises as lines of text."""

    def __init__(self):
        self.broken = []
        self.answers = []
        self.acked = 0

    def took(self, answer):
        self.answers.append(answer)

    def read_routes(self, version, acked_before):
        """A read that began after an acknowledgement shows no older."""
        if version < acked_before:
            self.broken.append(
                f'read version {version} after {acked_before} was acked'
            )

    def judge(self, runners):
        runs = collections.Counter()
        for one in runners:
            runs.update(one.runs)
        for answer in self.answers:
            self._judge(answer, runs[answer.request_id])
        return self.broken

    def _judge(self, answer, runs):
        name = answer.request_id
        if answer.kind == 'once' and runs > 1:
            self.broken.append(f'{name} ran {runs} times')
        if answer.status == 401:
            self.broken.append(f'{name}: a key in force was refused')
        if answer.kind == 'once' and answer.status in NOT_RUN and runs:
            self.broken.append(f'{name} was said not to have run, and did')
        if answer.status != 200 or not answer.whole:
            return
        if answer.kind == 'stream':
            wanted = list(range(1, runner_module.EVENTS + 1))
            if events(answer.body) != wanted:
                self.broken.append(f'{name}: events {events(answer.body)}')
            if answer.body.count(f'data: {name}\n'.encode()) != len(wanted):
                self.broken.append(f"{name}: another stream's events")
        elif not answer.body.startswith(f'{name} by '.encode()):
            self.broken.append(f'{name}: got {answer.body[:40]!r}')


def events(body):
    return [
        int(line[4:]) for line in body.split(b'\n') if line.startswith(b'id: ')
    ]
