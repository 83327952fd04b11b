"""What callers and operators saw, against what runners ran."""

import collections
import dataclasses

from tests.soak import runner as runner_module

# An answer that took so long may be broken off by its deadline.
DEADLINE_S = 3.9
# Statuses that promise that a request did not run.
NOT_RUN = (401, 429, 503)


@dataclasses.dataclass
class Answer:
    request_id: str
    kind: str
    status: int = 0
    body: bytes = b''
    whole: bool = False
    host: int = 0
    began_s: float = 0.0
    ended_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Harm:
    """A time in which a host, or all of them, may break answers off."""

    began_s: float
    ended_s: float
    host: int | None = None

    def excuses(self, answer):
        is_there = self.host in (None, answer.host)
        return (
            is_there
            and self.began_s <= answer.ended_s
            and self.ended_s >= answer.began_s
        )


class Promises:
    """Collects broken promises as lines of text."""

    def __init__(self):
        self.broken = []
        self.answers = []
        # Callers of streams that they take up.
        self.streams = []
        self.acked = 0
        self.harms = []

    def took(self, answer):
        self.answers.append(answer)

    def read_routes(self, version, acked_before):
        """A read that began after an acknowledgement shows no older."""
        if version < acked_before:
            self.broken.append(
                f'read version {version} after {acked_before} was acked'
            )

    def judge_ends(self):
        """Without harm, each request ends with a whole answer or refusal."""
        for answer in self.answers:
            took_s = answer.ended_s - answer.began_s
            if answer.whole or took_s > DEADLINE_S:
                continue
            if any(harm.excuses(answer) for harm in self.harms):
                continue
            self.broken.append(
                f'{answer.request_id}: status {answer.status}, broken off '
                f'after {took_s:.2f} s and {len(answer.body)} bytes'
            )

    def judge(self, runners):
        runs = collections.Counter()
        for one in runners:
            runs.update(one.runs)
        for answer in self.answers:
            self._judge(answer, runs[answer.request_id])
        for caller in self.streams:
            self._judge_stream(caller)
        return self.broken

    def _judge(self, answer, runs):
        name = answer.request_id
        if answer.kind == 'once' and runs > 1:
            self.broken.append(f'{name} ran {runs} times')
        if answer.status == 401:
            self.broken.append(f'{name}: a key in force was refused')
        if answer.kind == 'once' and answer.status in NOT_RUN and runs:
            self.broken.append(f'{name} was said not to have run, and did')
        if answer.status and not 200 <= answer.status <= 599:
            self.broken.append(f'{name}: status {answer.status}')
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

    def _judge_stream(self, caller):
        """Judge the events of a stream over all attempts."""
        numbers = [number for number, _ in caller.events]
        if numbers != list(range(1, len(numbers) + 1)):
            self.broken.append(f'{caller.name}: events {numbers}')
        if len(caller.versions) > 1:
            self.broken.append(f'{caller.name}: events {caller.events}')
        wanted = runner_module.EVENTS
        if caller.attempts[-1].whole and 0 < len(numbers) < wanted:
            last = caller.attempts[-1]
            if last.status == 200:
                self.broken.append(f'{caller.name}: ends with {numbers}')


def events(body):
    return [
        int(line[4:]) for line in body.split(b'\n') if line.startswith(b'id: ')
    ]
