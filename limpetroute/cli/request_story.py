"""Explains the outcome of one request from its log lines."""

import dataclasses
import json
import typing

SENT = 'sent'
OWN_ANSWER = 'answered for itself'
GONE = 'caller gone'
ANSWERED = 'answered'
EXPIRED = 'no answer in time'
# Fields that every line has, or that repeat the request id.
_COMMON = ('level', 'logger', 'message', 'time', 'request', 'taskName')

_CAUSES = {
    'no place in time': (
        'No decode runner had room in time. Look at "held" and "waiting" '
        'of the decision on the control host, and at how many runners '
        'were ready.'
    ),
    'no slot of a plain runner in time': (
        'The leader had no free slot for it in time. Look at "waiting", '
        '"in_use" and "answer_ms" of the refusal on the control host.'
    ),
    'too many requests wait for slots of plain runners': (
        "The leader's queue was full."
    ),
    'no room known': (
        'No control host could be asked, and by its own count this host '
        'had no room. Look for "lost the control host".'
    ),
    'no runner': 'No runner of the service was ready, or each was tried.',
    'no routes are known yet': (
        'The host had just started and had not heard a control host.'
    ),
    'unknown key': (
        'No team of the newest configuration holds the key that was sent.'
    ),
    'no key': 'The route is not public, and no key was sent.',
    'the key may be newer than the routes here': (
        'The host did not know the key and reached no leader that could '
        'say whether its configuration is the newest.'
    ),
    'over quota': (
        'The team had used up its quota in the window. "team reached its '
        'quota" of the control host names what was left, and Retry-After '
        'when there would be enough.'
    ),
    'no leader: local share of the quota is used up': (
        'The host reached no leader and kept the team to its even share.'
    ),
    'the key changed while the request waited': (
        'Its key was taken away, or moved to another team, before it was sent.'
    ),
    'this host stops': (
        'The host was shutting down, and the answer might not have ended in '
        'time.'
    ),
    'no memory for its body': (
        'The bodies of open requests used all of max_bodies_bytes. Nothing '
        'was sent on.'
    ),
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoryLine:
    """One log line with its time and the log that it comes from."""

    time: str
    source: str
    fields: dict[str, typing.Any]

    @property
    def summary(self) -> str:
        """The message and the fields that not every line has."""
        rest = [
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _COMMON
        ]
        return ' '.join([str(self.fields.get('message', '')), *rest])


class RequestStory:
    """Collects log lines of one request and explains its outcome.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    """

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id
        self._lines: list[StoryLine] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request_id={self._request_id!r})'

    def read(self, source: str, log: typing.Iterable[str]) -> None:
        """Collect the request's lines from a log; skip lines without JSON."""
        for text in log:
            if self._request_id not in text:
                continue
            try:
                fields = json.loads(text[text.index('{') :])
            except ValueError:
                continue
            if fields.get('request') != self._request_id:
                continue
            line = StoryLine(
                time=str(fields.get('time', '')),
                source=source,
                fields=fields,
            )
            self._lines.append(line)

    def lines(self) -> list[StoryLine]:
        """Return the lines sorted by time."""
        return sorted(self._lines, key=lambda line: line.time)

    def answered(self) -> bool:
        """Return whether a runner's whole answer reached the caller."""
        return any(
            line.fields.get('result') == ANSWERED
            and line.fields.get('step') == 'relay'
            for line in self._lines
        )

    def cause(self) -> str:
        """Describe the outcome of the request in a few sentences."""
        sends = [
            line.fields
            for line in self.lines()
            if line.fields.get('message') == SENT
        ]
        if self.answered():
            tries = len([send for send in sends if send['part'] != 'prefill'])
            return f'It was answered by a runner, at try {tries}.'
        messages = {line.fields.get('message') for line in self._lines}
        if GONE in messages:
            return (
                f'Its caller left. Before that: {_describe_last_send(sends)}'
            )
        for line in self.lines():
            if line.fields.get('message') != OWN_ANSWER:
                continue
            status = line.fields['status']
            reason = line.fields['reason']
            hint = _CAUSES.get(reason, _describe_last_send(sends))
            if reason == EXPIRED:
                hint = (
                    "The route's timeout or the caller's deadline passed. "
                    f'{hint}'
                )
            return f'It was answered {status}: {reason}. {hint}'
        return f'No line tells of its end. {_describe_last_send(sends)}'


def _describe_last_send(sends: list[dict[str, typing.Any]]) -> str:
    if not sends:
        return 'Nothing was sent to a runner.'
    send = sends[-1]
    return (
        f'The last send, {send["part"]}, went to {send["runner"]} at '
        f'{send["address"]} and ended {send["result"]} after '
        f'{send["took_ms"]} ms ({send["detail"] or "no detail"}).'
    )
