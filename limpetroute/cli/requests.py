"""List requests that entry hosts hold, without their texts.

Usage:
  limpetroute requests [--all] [--json] [--host URL]... [--settings FILE]
                       [--token-file FILE] [--ca-file FILE]

Options:
  --host URL         Internal port of an entry host, may be repeated
                     (default: http://127.0.0.1:8081).
  --settings FILE    Entry settings: ask that host and all its peers, with
                     its token and authority.
  --token-file FILE  Token of the internal ports.
  --ca-file FILE     Authority of the internal ports' certificates.
  --all              Show ended requests that are still kept, too.
  --json             Print one JSON object.
  -h --help          Show this help.

Exit codes:
  0  every host answered
  2  wrong arguments or settings
  3  at least one host did not answer: the list is not whole

Example:
  limpetroute requests --settings examples/federation/entry-1.json
"""

import json
import typing

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import operator_call
from limpetroute.cli import table

FIELDS = (
    'request_id',
    'team',
    'stage',
    'runner_id',
    'events',
    'delivered_index',
    'attached',
    'outcome',
)


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    target = operator_call.target_or_explain(args)
    if target is None:
        return exit_code.USAGE
    query = '?all=1' if args['--all'] else ''
    path = f'/v1/operator/requests{query}'
    answers = operator_call.ask(target, 'GET', path)
    found = []
    for answer in answers:
        for row in answer.body.get('requests', []):
            found.append({'url': answer.url, **row})
    hidden = sum(answer.body.get('not_shown', 0) for answer in answers)
    if args['--json']:
        print(json.dumps({'requests': found, 'not_shown': hidden}))
    else:
        _print_table(found, hidden)
    return operator_call.explain_failures(answers)


def _print_table(found: list[dict[str, typing.Any]], hidden: int) -> None:
    rows = [[row['url'], *[row[field] for field in FIELDS]] for row in found]
    titles = [field.replace('_', ' ') for field in FIELDS]
    table.show(['held by', *titles], rows)
    if hidden:
        print(f'{hidden} more are not shown')
