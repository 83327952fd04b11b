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
    code = operator_call.explain_failures([*entries, *controls])
    if code != exit_code.DONE:
        return code
    if not all(item.body.get('ready') for item in entries):
        return exit_code.NO
    if not all(_in_touch(item.body) for item in controls):
        return exit_code.NO
    return exit_code.DONE


def _as_json(
    answers: list[operator_call.HostAnswer],
) -> list[dict[str, typing.Any]]:
    return [
        {'url': item.url, 'error': item.error or None, **item.body}
        for item in answers
    ]


def _in_touch(body: dict[str, typing.Any]) -> bool:
    groups = body.get('groups', [])
    return not body.get('failure') and all(one['in_touch'] for one in groups)


def _state(item: operator_call.HostAnswer) -> str:
    return 'no answer' if item.error else 'answers'


def _print_entries(answers: list[operator_call.HostAnswer]) -> None:
    rows = []
    for item in answers:
        values = [item.body.get(field) for field in FIELDS]
        rows.append([item.url, _state(item), *values])
    titles = [field.replace('_', ' ') for field in FIELDS]
    table.show(['url', 'state', *titles], rows)


def _print_controls(answers: list[operator_call.HostAnswer]) -> None:
    rows = []
    for item in answers:
        body = item.body
        groups = body.get('groups', [])
        leads = [str(one['group']) for one in groups if _leads(one)]
        manifest = body.get('manifest') or {}
        claims = [one['unsettled_claims'] for one in groups]
        rows.append(
            [
                item.url,
                _state(item),
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


def _leads(group: dict[str, typing.Any]) -> bool:
    return bool(group['role'] == 'leader')
