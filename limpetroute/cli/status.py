"""Show how each entry host is.

Usage:
  limpetroute status [--json] [--host URL]... [--settings FILE]
                     [--token-file FILE] [--ca-file FILE]

Options:
  --host URL         Internal port of an entry host, may be repeated
                     (default: http://127.0.0.1:8081).
  --settings FILE    Entry settings: ask that host and all its peers, with
                     its token and authority.
  --token-file FILE  Token of the internal ports.
  --ca-file FILE     Authority of the internal ports' certificates.
  --json             Print one JSON object.
  -h --help          Show this help.

Exit codes:
  0  every host answered and takes work
  1  every host answered, and at least one takes no new work
  2  wrong arguments or settings
  3  at least one host did not answer

Example:
  limpetroute status --settings examples/federation/entry-1.json
"""

import json
import typing

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import operator_call
from limpetroute.cli import table

FIELDS = (
    'host_id',
    'zone',
    'ready',
    'draining',
    'manifest_number',
    'requests_in_progress',
    'records',
    'runners',
)


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    target = operator_call.target_or_explain(args)
    if target is None:
        return exit_code.USAGE
    answers = operator_call.ask(target, 'GET', '/v1/operator/status')
    if args['--json']:
        hosts = [
            {'url': item.url, 'error': item.error or None, **item.body}
            for item in answers
        ]
        print(json.dumps({'hosts': hosts}))
    else:
        _print_table(answers)
    code = operator_call.explain_failures(answers)
    if code != exit_code.DONE:
        return code
    if all(item.body.get('ready') for item in answers):
        return exit_code.DONE
    return exit_code.NO


def _print_table(answers: list[operator_call.HostAnswer]) -> None:
    rows = []
    for item in answers:
        state = 'no answer' if item.error else 'answers'
        values = [item.body.get(field) for field in FIELDS]
        rows.append([item.url, state, *values])
    titles = [field.replace('_', ' ') for field in FIELDS]
    table.show(['url', 'state', *titles], rows)
