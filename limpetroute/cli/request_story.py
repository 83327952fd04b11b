"""One request's log lines, and what they say of its end."""

import dataclasses
import json
import typing

SENT = 'sent'
OWN_ANSWER = 'answered for itself'
GONE = 'caller gone'
ANSWERED = 'answered'
EXPIRED = 'no answer in time'
# Fields that stand in every line, or name the request again.
_COMMON = ('level', 'logger', 'message', 'time', 'request', 'taskName')

_CAUSES = {
    'no place in time': (
        'No decode runner had room in time. Look at "held" and "waiting" '
        'of the decision on the control host, and at how many runners '
        'were ready.'
    ),
    'no room known': (
        'No control host could be asked, and by its own count this host '
        'had no room. Look for "lost the control host".'
    ),
    'no runner': 'No runner of the service was ready, or each was tried.',
    'no routes are known yet': (
        'The host had just started and had not heard a control host.'
    ),
    'this host stops': 'The host was shutting down and takes no streams.',
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoryLine:
    """One log line: when, from which log, and what it says."""

    time: str
    source: str
    fields: dict[str, typing.Any]

    @property
    def said(self) -> str:
        """The message and its own fields."""
        rest = [
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _COMMON
        ]
        return ' '.join([str(self.fields.get('message', '')), *rest])


class RequestStory:
    """One request's log lines, and what they say of its end.

    Parameters
    ----------
    request_id : str
        The request.
    """

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id
        self._lines: list[StoryLine] = []

    def __repr__(self) -> str:
        return f'{type(self).__name__}(request_id={self._request_id!r})'

    def read(self, source: str, log: typing.Iterable[str]) -> None:
        """Take a log's lines; what is not JSON is passed over."""
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
        """Return the lines in order of time."""
        return sorted(self._lines, key=lambda line: line.time)

    def answered(self) -> bool:
        """Return whether the caller had a runner's whole answer."""
        return any(
            line.fields.get('result') == ANSWERED
            and line.fields.get('step') == 'relay'
            for line in self._lines
        )

    def cause(self) -> str:
        """Say in a sentence what became of the request."""
        sends = [
            line.fields
            for line in self.lines()
            if line.fields.get('message') == SENT
        ]
        if self.answered():
            tries = len([one for one in sends if one['part'] != 'prefill'])
            return f'It was answered by a runner, at try {tries}.'
        messages = {line.fields.get('message') for line in self._lines}
        if GONE in messages:
            return f'Its caller left. Before that: {_last(sends)}'
        for line in self.lines():
            if line.fields.get('message') != OWN_ANSWER:
                continue
            status = line.fields['status']
            reason = line.fields['reason']
            hint = _CAUSES.get(reason, _last(sends))
            if reason == EXPIRED:
                hint = (
                    "The route's timeout or the caller's deadline passed. "
                    f'{hint}'
                )
            return f'It was answered {status}: {reason}. {hint}'
        return f'No line tells of its end. {_last(sends)}'


def _last(sends: list[dict[str, typing.Any]]) -> str:
    if not sends:
        return 'Nothing was sent to a runner.'
    one = sends[-1]
    return (
        f'The last send, {one["part"]}, went to {one["runner"]} at '
        f'{one["address"]} and ended {one["result"]} after '
        f'{one["took_ms"]} ms ({one["detail"] or "no detail"}).'
    )
