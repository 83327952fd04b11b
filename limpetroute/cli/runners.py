"""Show the runners that entry hosts know.

Usage:
  limpetroute runners [--json] [--host URL]... [--settings FILE]
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
  0  every host answered and knows the same runners
  1  every host answered, but some do not know all runners
  2  wrong arguments or settings
  3  at least one host did not answer

Example:
  limpetroute runners --settings examples/federation/entry-1.json
"""

import json
import typing

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import operator_call
from limpetroute.cli import table

COLUMNS = (
    'runner',
    'role',
    'zone',
    'carries',
    'running',
    'slots',
    'kv used',
    'leaving',
    'known to',
)


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    target = operator_call.target_or_explain(args)
    if target is None:
        return exit_code.USAGE
    answers = operator_call.ask(target, 'GET', '/v1/runners')
    answered = [answer for answer in answers if not answer.error]
    found = _merge(answered)
    if args['--json']:
        shown = [{**body, 'known_to': count} for body, count in found.values()]
        print(json.dumps({'runners': shown, 'hosts': len(answered)}))
    else:
        _print_table(found, len(answered))
    code = operator_call.explain_failures(answers)
    if code != exit_code.DONE:
        return code
    if all(count == len(answered) for _, count in found.values()):
        return exit_code.DONE
    return exit_code.NO


def _merge(
    answers: list[operator_call.HostAnswer],
) -> dict[str, tuple[dict[str, typing.Any], int]]:
    found: dict[str, tuple[dict[str, typing.Any], int]] = {}
    for answer in answers:
        for body in answer.body.get('runners', []):
            name = body['runner_id']
            previous, count = found.get(name, (body, 0))
            # A runner is shown as leaving if at least one host marks it so.
            leaving = previous['leaving'] or body['leaving']
            found[name] = ({**body, 'leaving': leaving}, count + 1)
    return dict(sorted(found.items()))


def _print_table(
    found: dict[str, tuple[dict[str, typing.Any], int]], hosts: int
) -> None:
    rows = []
    for name, (body, count) in found.items():
        report = body.get('report') or {}
        carries = body['service'] or ', '.join(body['models'])
        used = report.get('kv_used_bytes', 0)
        share = used / max(1, body['kv_capacity_bytes'])
        rows.append(
            [
                name,
                body['role'],
                body['zone'],
                carries,
                report.get('running'),
                body['slots'],
                f'{share:.0%}',
                body['leaving'],
                f'{count} of {hosts}',
            ]
        )
    table.show(COLUMNS, rows)
