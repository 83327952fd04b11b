"""Works out from log lines what became of all streams and prompts."""

import collections
import dataclasses
import json
import typing

SENT = 'sent'
DECIDED = 'stream decided'
LOCAL = 'placement decided without the leader'
REPLIED = 'answered for itself'
LEFT = 'caller gone'
NOT_RUN = ('refused', 'shed', 'withheld', 'not_sent', 'misdirected')
# A first event later than this is late; the routes' targets are about as
# long, and no log line names them.
TARGET_MS = 900
GAP_TARGET_MS = 300


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamRecord:
    """What the logs say of one stream."""

    request_id: str
    second: int = 0
    team: str = ''
    prompt: str = ''
    prompt_tokens: int = 0
    waited_ms: int = 0
    queued_ms: int = 0
    prefill_ms: int = 0
    first_event_ms: int | None = None
    longest_gap_ms: int = 0
    is_local: bool = False
    is_answered: bool = False
    status: int = 0
    reason: str = ''
    caller_left: bool = False
    prefills: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    decodes: list[str] = dataclasses.field(default_factory=list)

    @property
    def cause(self) -> str:
        """The one cause that explains the outcome best."""
        if self.is_answered:
            return self._cause_of_lateness()
        if self.status:
            return f'{self.status} {self.reason}'
        if self.caller_left:
            return 'caller left'
        return f'ended: {self.decodes[-1]}' if self.decodes else 'no end'

    @property
    def wasted_prompts(self) -> list[tuple[str, int]]:
        """Why prompts were prefilled in vain, and their tokens."""
        answered = [
            tokens for result, tokens in self.prefills if result == 'answered'
        ]
        used = sum(result not in NOT_RUN for result in self.decodes)
        wasted = [(self._why_wasted(), tokens) for tokens in answered[used:]]
        if not self.is_answered and answered and used:
            wasted.append((f'stream {self.cause}', answered[0]))
        return wasted

    def _cause_of_lateness(self) -> str:
        first_ms = self.first_event_ms
        if first_ms is not None and first_ms > TARGET_MS:
            parts = {
                'waited for a placement': self.queued_ms,
                'waited for the prefill': self.prefill_ms,
                'runners before the last': self.waited_ms,
            }
            parts['waited for the first event'] = first_ms - sum(
                parts.values()
            )
            return f'late: {max(parts, key=lambda name: parts[name])}'
        if self.longest_gap_ms > GAP_TARGET_MS:
            return 'late: gap between events'
        return 'in time'

    def _why_wasted(self) -> str:
        if self.caller_left:
            return 'caller left before the decode'
        if 'shed' in self.decodes:
            return 'the decode runner asked for a backoff'
        if 'refused' in self.decodes:
            return 'decode runner refused'
        return 'decode runner was not reached'


class DayAccount:
    """Works out from log lines what became of all streams and prompts."""

    def __init__(self) -> None:
        self._streams: dict[str, StreamRecord] = {}
        self._plain: dict[str, list[dict[str, typing.Any]]] = {}
        self._first_time = ''

    def __repr__(self) -> str:
        return f'{type(self).__name__}(streams={len(self._streams)!r})'

    def read(self, log: typing.Iterable[str]) -> None:
        """Read the lines of one log; others than JSON are skipped."""
        for text in log:
            start = text.find('{')
            if start < 0 or '"request"' not in text:
                continue
            try:
                fields = json.loads(text[start:])
            except ValueError:
                continue
            if isinstance(fields, dict):
                self._apply(fields)

    def streams(self) -> list[StreamRecord]:
        """Return what is known of each stream."""
        return list(self._streams.values())

    def causes(self) -> collections.Counter[str]:
        """Return the number of streams by cause."""
        return collections.Counter(one.cause for one in self.streams())

    def wasted(self) -> collections.Counter[str]:
        """Return the tokens prefilled in vain by cause."""
        tokens: collections.Counter[str] = collections.Counter()
        for one in self.streams():
            for cause, count in one.wasted_prompts:
                tokens[cause] += count
        return tokens

    def by(self, field: str) -> dict[typing.Any, collections.Counter[str]]:
        """Return the causes by a field of the streams."""
        found: dict[typing.Any, collections.Counter[str]] = {}
        for one in self.streams():
            counts = found.setdefault(
                getattr(one, field), collections.Counter()
            )
            counts[one.cause] += 1
        return found

    def plain(self) -> collections.Counter[str]:
        """Return the number of plain requests by how they ended."""
        counts: collections.Counter[str] = collections.Counter()
        for request_id, lines in self._plain.items():
            if request_id in self._streams:
                continue
            last = lines[-1]
            if last.get('message') == REPLIED:
                counts[f'{last["status"]} {last["reason"]}'] += 1
            elif last.get('message') == LEFT:
                counts['caller left'] += 1
            else:
                counts[f'{last["result"]} at send {len(lines)}'] += 1
        return counts

    def _apply(self, fields: dict[str, typing.Any]) -> None:
        message = fields.get('message')
        request_id = fields['request']
        is_stream = message in (DECIDED, LOCAL) or (
            message == SENT and fields.get('part') != 'run'
        )
        if not is_stream and request_id not in self._streams:
            if message in (SENT, REPLIED, LEFT):
                self._plain.setdefault(request_id, []).append(fields)
            return
        one = self._streams.get(request_id)
        if one is None:
            one = self._streams[request_id] = StreamRecord(
                request_id=request_id, second=self._second(fields)
            )
        if message == DECIDED:
            self._note_decision(one, fields)
        elif message == LOCAL:
            one.is_local = True
        elif message == SENT:
            self._note_send(one, fields)
        elif message == REPLIED:
            one.status, one.reason = fields['status'], fields['reason']
        elif message == LEFT:
            one.caller_left = True

    def _note_decision(
        self, one: StreamRecord, fields: dict[str, typing.Any]
    ) -> None:
        one.team = fields.get('team', '')
        one.prompt = fields.get('prompt', '')
        one.prompt_tokens = fields.get('prompt_tokens', 0)
        one.waited_ms = fields.get('waited_ms', 0)
        one.queued_ms += fields.get('queued_ms', 0)

    def _note_send(
        self, one: StreamRecord, fields: dict[str, typing.Any]
    ) -> None:
        result = fields['result']
        if fields['part'] == 'prefill':
            words = str(fields.get('detail', '')).split()
            tokens = words[0] if words else ''
            count = int(tokens) if tokens.isdecimal() else 0
            one.prefills.append((result, count))
            one.prefill_ms += fields.get('took_ms', 0)
            return
        one.decodes.append(result)
        one.first_event_ms = fields.get('first_event_ms', one.first_event_ms)
        one.longest_gap_ms = fields.get('longest_gap_ms') or 0
        one.is_answered = result == 'answered'

    def _second(self, fields: dict[str, typing.Any]) -> int:
        """Return the second of a line since the first one."""
        time = str(fields.get('time', ''))
        self._first_time = self._first_time or time
        return _seconds(time) - _seconds(self._first_time)


def _seconds(time: str) -> int:
    """Return the second of a day of an ISO time."""
    try:
        hours, minutes, seconds = time[11:19].split(':')
        return int(hours) * 3600 + int(minutes) * 60 + int(seconds)
    except ValueError:
        return 0
