"""Show how each entry host and control host is.

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
  0  every host answered and takes work; control can commit
  1  every host answered, and at least one takes no new work, or a
     control host is out of touch with its quorum
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
CONTROL_COLUMNS = (
    'control url',
    'state',
    'host id',
    'zone',
    'leads',
    'in touch',
    'manifest number',
    'unsettled claims',
    'failure',
)


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    target = operator_call.target_or_explain(args)
    if target is None:
        return exit_code.USAGE
    entries = operator_call.ask(target, 'GET', '/v1/operator/status')
    controls = operator_call.ask_control(target, '/v1/status')
    if args['--json']:
        shown = {'hosts': _as_json(entries), 'control': _as_json(controls)}
        print(json.dumps(shown))
    else:
        _print_entries(entries)
        if controls:
            _print_controls(controls)
            _print_teams(controls)
    code = operator_call.explain_failures([*entries, *controls])
    if code != exit_code.DONE:
        return code
    if not all(answer.body.get('ready') for answer in entries):
        return exit_code.NO
    if not all(_in_touch(answer.body) for answer in controls):
        return exit_code.NO
    return exit_code.DONE


def _as_json(
    answers: list[operator_call.HostAnswer],
) -> list[dict[str, typing.Any]]:
    return [
        {'url': answer.url, 'error': answer.error or None, **answer.body}
        for answer in answers
    ]


def _in_touch(body: dict[str, typing.Any]) -> bool:
    groups = body.get('groups', [])
    return not body.get('failure') and all(
        group['in_touch'] for group in groups
    )


def _state(answer: operator_call.HostAnswer) -> str:
    return 'no answer' if answer.error else 'answers'


def _print_entries(answers: list[operator_call.HostAnswer]) -> None:
    rows = []
    for answer in answers:
        values = [answer.body.get(field) for field in FIELDS]
        rows.append([answer.url, _state(answer), *values])
    titles = [field.replace('_', ' ') for field in FIELDS]
    table.show(['url', 'state', *titles], rows)


def _print_controls(answers: list[operator_call.HostAnswer]) -> None:
    rows = []
    for answer in answers:
        body = answer.body
        groups = body.get('groups', [])
        leads = [str(group['group']) for group in groups if _leads(group)]
        manifest = body.get('manifest') or {}
        claims = [group['unsettled_claims'] for group in groups]
        rows.append(
            [
                answer.url,
                _state(answer),
                body.get('host_id'),
                body.get('zone'),
                ', '.join(leads) or None,
                _in_touch(body) if body else None,
                manifest.get('number'),
                max(claims) if claims else None,
                body.get('failure') or None,
            ]
        )
    table.show(CONTROL_COLUMNS, rows)


def _print_teams(answers: list[operator_call.HostAnswer]) -> None:
    """Print the teams nearest to their quota, as the leader knows them."""
    rows = [
        [team['team'], team['left'], team['limit'], team['over_quota']]
        for answer in answers
        for team in answer.body.get('teams', [])
    ]
    if rows:
        print()
        table.show(['team', 'left in window', 'limit', 'over quota'], rows)


def _leads(group: dict[str, typing.Any]) -> bool:
    return bool(group['role'] == 'leader')
