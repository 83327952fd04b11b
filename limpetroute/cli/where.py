"""Say where a request would go now; send nothing.

Usage:
  limpetroute where NAME PATH --host URL [--team TEAM] [--zone ZONE]
                    [--priority N] [--prompt-tokens N] [--output-tokens N]
                    [--deadline-s S] [--token-file FILE]
                    [--ca-file FILE] [--json]

Options:
  --host URL           Metrics port of the entry host that is asked.
  --team TEAM          Name of the caller's team.
  --zone ZONE          Zone of the caller's host (default: that of the host).
  --priority N         Priority of the team, 0 to 9 (default: its own).
  --prompt-tokens N    Length of the prompt; without it, a plain request.
  --output-tokens N    Longest answer in tokens.
  --deadline-s S       How long the caller waits.
  --token-file FILE    Token to send.
  --ca-file FILE       Authority of the port's certificate.
  --json               Print one JSON object.
  -h --help            Show this help.

NAME is the host name that the caller uses, PATH the path of the request.
Nothing is sent to a runner, and nothing is reserved.

Exit codes:
  0  the request would be sent, or would wait for a runner
  1  it would be refused
  2  wrong arguments, unknown route or team
  3  the host could not be reached, or it knows no routes or no leader

Example:
  limpetroute where lobby.example /briefing/ --host http://127.0.0.1:9090
"""

import asyncio
import json
import sys
import typing
import urllib.parse

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import operator_call
from limpetroute.cli import operator_target
from limpetroute.cli import table
from limpetroute.wire import call_failed

TIMEOUT_S = 3.0
FIELDS = {
    'team': '--team',
    'zone': '--zone',
    'priority': '--priority',
    'prompt_tokens': '--prompt-tokens',
    'output_tokens': '--output-tokens',
    'deadline_s': '--deadline-s',
}
BAD_QUERY = (400, 404)
LISTED = ('candidates', 'inputs', 'services', 'not_considered')


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    target = operator_call.target_or_explain(
        {**args, '--host': [args['--host']], '--settings': None}
    )
    if target is None:
        return exit_code.USAGE
    return asyncio.run(_run(target, args))


async def _run(
    target: operator_target.OperatorTarget, args: dict[str, typing.Any]
) -> int:
    query = {'host': args['NAME'], 'path': args['PATH']}
    for field, option in FIELDS.items():
        if args[option] is not None:
            query[field] = args[option]
    (url,) = target.urls
    reply = await target.http.call(
        method='GET',
        url=f'{url}/v1/preview?{urllib.parse.urlencode(query)}',
        timeout_s=TIMEOUT_S,
    )
    if isinstance(reply, call_failed.CallFailed):
        text = f'no answer ({reply.kind}) {reply.detail}'.rstrip()
        return _fail(url, [text], exit_code.UNKNOWN)
    try:
        body = reply.json()
        if not isinstance(body, dict):
            raise ValueError('not a JSON object')
    except ValueError as exc:
        lines = [f'unexpected answer, status {reply.status}: {exc}']
        return _fail(url, lines, exit_code.UNKNOWN)
    if not reply.ok:
        code = exit_code.UNKNOWN
        if reply.status in BAD_QUERY:
            code = exit_code.USAGE
        lines = body.get('errors', [f'status {reply.status}'])
        return _fail(url, lines, code)
    if args['--json']:
        print(json.dumps(body))
    else:
        _print(body)
    refused = body.get('decision') == 'refuse'
    return exit_code.NO if refused else exit_code.DONE


def _fail(url: str, lines: typing.Sequence[str], code: int) -> int:
    for line in lines:
        print(f'{url}: {line}', file=sys.stderr)
    return code


def _print(body: dict[str, typing.Any]) -> None:
    rows = [
        [name.replace('_', ' '), value]
        for name, value in body.items()
        if name not in LISTED
    ]
    for name, value in body.get('inputs', {}).items():
        rows.append([f'input: {name.replace("_", " ")}', value])
    not_considered = ', '.join(body.get('not_considered', ()))
    rows.append(['not considered', not_considered])
    table.show(['what', 'value'], rows)
    candidates = body.get('candidates') or []
    if candidates:
        columns = list(candidates[0])
        titles = [name.replace('_', ' ') for name in columns]
        table.show(
            titles,
            [[one.get(name) for name in columns] for one in candidates],
        )
