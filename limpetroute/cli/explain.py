"""Gather one request's log lines and say what became of it.

Usage:
  limpetroute explain ID LOG... [--json]

Options:
  --json     The lines as JSON, for programs.
  -h --help  Show this help.

Example:
  limpetroute explain 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log

Give the logs of all entry and control hosts: a stream's place is decided
on a control host. Lines are put in order by their time.

Exit codes: 0 the caller had an answer, 1 it had none or an error, 2 a
log cannot be read, 3 no line names the request.
"""

import json
import pathlib
import sys
import typing

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import request_story
from limpetroute.cli import table


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    story = request_story.RequestStory(request_id=args['ID'])
    for name in args['LOG']:
        try:
            with pathlib.Path(name).open(errors='replace') as log:
                story.read(name, log)
        except OSError as exc:
            print(f'{name}: cannot be read: {exc.strerror}', file=sys.stderr)
            return exit_code.USAGE
    lines = story.lines()
    if not lines:
        print(f'no line names {args["ID"]!r}', file=sys.stderr)
        return exit_code.UNKNOWN
    if args['--json']:
        print(json.dumps([line.fields for line in lines], indent=1))
    else:
        rows = [[line.time, line.source, line.summary] for line in lines]
        table.show(['time', 'log', 'what'], rows)
        print(f'\n{story.cause()}')
    return exit_code.DONE if story.answered() else exit_code.NO
