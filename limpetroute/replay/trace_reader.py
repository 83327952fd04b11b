"""Parses a trace from JSON lines."""

import json
import math
import typing

from limpetroute.replay import trace as trace_module
from limpetroute.replay import trace_error

FORMAT = 1
MAX_LINE_BYTES = 1 << 20
FIELDS = ('at_s', 'on', 'name', 'do', 'with', 'expect')
REQUIRED = ('at_s', 'on', 'do')


def read(data: bytes) -> trace_module.Trace:
    """Parse a trace.

    Raises
    ------
    TraceError
        At the first position that violates the format.
    """
    lines = data.split(b'\n')
    if lines and not lines[-1]:
        lines.pop()
    if not lines:
        raise trace_error.TraceError(line=1, column=1, text='empty file')
    story = _story(_object(lines[0], 1))
    events: list[trace_module.TraceEvent] = []
    for number, line in enumerate(lines[1:], 2):
        if not line.strip():
            continue
        event = _event(line, number)
        if events and event.at_s < events[-1].at_s:
            raise _error(line, number, 'at_s', 'the clock goes back')
        events.append(event)
    if not any(event.stated for event in events):
        raise trace_error.TraceError(
            line=len(lines), column=1, text='no line states an outcome'
        )
    return trace_module.Trace(story=story, events=tuple(events))


def _story(header: dict[str, typing.Any]) -> str:
    if header.get('trace') != FORMAT:
        raise trace_error.TraceError(
            line=1,
            column=1,
            text=f'the first line needs "trace": {FORMAT} and a "story"',
        )
    story = header.get('story')
    if not isinstance(story, str) or not story:
        raise trace_error.TraceError(
            line=1, column=1, text='story: not a non-empty string'
        )
    return story


def _event(line: bytes, number: int) -> trace_module.TraceEvent:
    body = _object(line, number)
    for field in body:
        if field not in FIELDS:
            allowed = ', '.join(FIELDS)
            raise _error(
                line, number, field, f'{field}: allowed are {allowed}'
            )
    for field in REQUIRED:
        if field not in body:
            raise trace_error.TraceError(
                line=number, column=1, text=f'{field}: missing'
            )
    at_s = body['at_s']
    if isinstance(at_s, bool) or not isinstance(at_s, int | float):
        raise _error(line, number, 'at_s', 'at_s: not a number of seconds')
    if not math.isfinite(at_s):
        raise _error(line, number, 'at_s', 'at_s: not a finite number')
    for field in ('on', 'do', 'name'):
        if not isinstance(body.get(field, ''), str):
            raise _error(line, number, field, f'{field}: not a text')
    args = body.get('with', {})
    if not isinstance(args, dict):
        raise _error(line, number, 'with', 'with: not an object')
    return trace_module.TraceEvent(
        line=number,
        at_s=float(at_s),
        part=body['on'],
        name=body.get('name', ''),
        verb=body['do'],
        args=args,
        stated='expect' in body,
        expected=body.get('expect'),
    )


def _object(line: bytes, number: int) -> dict[str, typing.Any]:
    if len(line) > MAX_LINE_BYTES:
        raise trace_error.TraceError(
            line=number,
            column=MAX_LINE_BYTES + 1,
            text=f'longer than {MAX_LINE_BYTES} bytes',
        )
    try:
        text = line.decode()
        body = json.loads(text)
    except UnicodeDecodeError as exc:
        raise trace_error.TraceError(
            line=number, column=exc.start + 1, text='not UTF-8'
        ) from exc
    except json.JSONDecodeError as exc:
        raise trace_error.TraceError(
            line=number, column=exc.colno, text=exc.msg
        ) from exc
    except RecursionError as exc:
        raise trace_error.TraceError(
            line=number, column=1, text='nested too deeply'
        ) from exc
    if not isinstance(body, dict):
        raise trace_error.TraceError(
            line=number, column=1, text='not a JSON object'
        )
    return body


def _error(
    line: bytes, number: int, field: str, text: str
) -> trace_error.TraceError:
    offset = line.decode().find(json.dumps(field))
    return trace_error.TraceError(
        line=number, column=max(0, offset) + 1, text=text
    )
