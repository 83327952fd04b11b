"""Check settings, manifests, experiments and traces; start nothing.

Usage:
  limpetroute check [--kind KIND] [--json] FILE...

Options:
  --kind KIND  One of entry, control, standin, manifest, experiment, trace;
               guessed from the file where it is not given.
  --json       Print one JSON object.
  -h --help    Show this help.

Several files are checked against each other too: names, addresses and
zones that do not go together are named.

Exit codes:
  0  every file can be used
  2  wrong arguments, or at least one wrong field; each is named

Example:
  limpetroute check examples/federation/*.json
"""

import json
import sys
import typing

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import file_check
from limpetroute.cli import file_kind


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    kind = None
    if args['--kind'] is not None:
        try:
            kind = file_kind.FileKind(args['--kind'])
        except ValueError:
            allowed = ', '.join(file_kind.FileKind)
            print(f'--kind: allowed is one of {allowed}', file=sys.stderr)
            return exit_code.USAGE
    checks = [file_check.check_file(name, kind) for name in args['FILE']]
    together = file_check.check_together(checks)
    if args['--json']:
        _print_json(checks, together)
    else:
        _print_lines(checks, together)
    if together or any(item.lines for item in checks):
        return exit_code.USAGE
    return exit_code.DONE


def _print_json(
    checks: list[file_check.FileCheck], together: list[str]
) -> None:
    files = [
        {'path': item.path, 'kind': item.kind, 'errors': list(item.lines)}
        for item in checks
    ]
    print(json.dumps({'files': files, 'together': together}))


def _print_lines(
    checks: list[file_check.FileCheck], together: list[str]
) -> None:
    for item in checks:
        for line in item.lines:
            print(f'{item.path}: {line}', file=sys.stderr)
        if not item.lines:
            print(f'{item.path}: {item.kind}, can be used')
    for line in together:
        print(line, file=sys.stderr)
