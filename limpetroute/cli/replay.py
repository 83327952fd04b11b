"""Play recorded traces through the product's own decisions.

Usage:
  limpetroute replay [--json] [--quiet] TRACE...

Options:
  --json     Print one JSON object a trace.
  --quiet    Print only what differs.
  -h --help  Show this help.

Exit codes:
  0  every outcome is as stated
  1  an outcome differs; the first event that differs is named
  2  a trace cannot be read; its line and column are named

Example:
  limpetroute replay traces/*.jsonl
"""

import json
import pathlib
import sys
import typing

import docopt

from limpetroute.cli import exit_code
from limpetroute.replay import replayer
from limpetroute.replay import trace as trace_module
from limpetroute.replay import trace_error
from limpetroute.replay import trace_reader


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    codes = [_replay(name, args) for name in args['TRACE']]
    return max(codes)


def _replay(name: str, args: typing.Mapping[str, typing.Any]) -> int:
    try:
        trace = trace_reader.read(pathlib.Path(name).read_bytes())
        steps = replayer.replay(trace)
    except OSError as exc:
        print(f'{name}: {exc.strerror}', file=sys.stderr)
        return exit_code.USAGE
    except trace_error.TraceError as exc:
        print(f'{name}: {exc}', file=sys.stderr)
        return exit_code.USAGE
    differs = not steps[-1].agrees
    if args['--json']:
        print(json.dumps(_as_json(name, trace, steps)))
    elif differs or not args['--quiet']:
        _print(name, trace, steps)
    return exit_code.NO if differs else exit_code.DONE


def _as_json(
    name: str, trace: trace_module.Trace, steps: list[replayer.Step]
) -> dict[str, typing.Any]:
    rows = [
        {
            'line': step.event.line,
            'at_s': step.event.at_s,
            'expected': step.event.expected,
            'got': step.got,
            'agrees': step.agrees,
        }
        for step in steps
    ]
    return {
        'trace': name,
        'story': trace.story,
        'agrees': steps[-1].agrees,
        'steps': rows,
    }


def _print(
    name: str, trace: trace_module.Trace, steps: list[replayer.Step]
) -> None:
    print(f'{name}: {trace.story}')
    for step in steps:
        event = step.event
        mark = 'ok' if step.agrees else 'DIFFERS'
        part = f'{event.part} {event.name}'.rstrip()
        print(f'  line {event.line} at {event.at_s:g} s, {part} {event.verb}')
        print(f'    expected {json.dumps(event.expected)}')
        print(f'    got      {json.dumps(step.got)}')
        print(f'    {mark}')
    if not steps[-1].agrees:
        line = steps[-1].event.line
        print(f'{name}: first event that differs: line {line}')
