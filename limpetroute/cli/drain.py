"""Give a runner, or the entry hosts named, no new work.

Usage:
  limpetroute drain RUNNER [--undo] [--wait SECONDS] [--json]
                    [--host URL]... [--settings FILE]
                    [--token-file FILE] [--ca-file FILE]
  limpetroute drain --this-host --host URL [--undo] [--json]
                    [--token-file FILE] [--ca-file FILE]

Options:
  --host URL         Internal port of an entry host, may be repeated
                     (default: http://127.0.0.1:8081).
  --settings FILE    Entry settings: ask that host and all its peers, with
                     its token and authority.
  --token-file FILE  Token of the internal ports.
  --ca-file FILE     Authority of the internal ports' certificates.
  --this-host        Drain the entry host itself, not a runner.
  --undo             Give work again.
  --wait SECONDS     Wait until nothing runs there [default: 0].
  --json             Print one JSON object.
  -h --help          Show this help.

What runs goes on to its end. The mark of a runner is kept by each host
asked, in memory: ask all hosts, and again after one restarts.

Exit codes:
  0  done; with --wait: and nothing runs there any more
  1  no host knows the runner, or it still runs something after the wait
  2  wrong arguments or settings
  3  at least one host did not answer, and may still give it work

Example:
  limpetroute drain review-2 --settings examples/federation/entry-1.json
"""

import json
import sys
import time
import typing
import urllib.parse

import docopt

from limpetroute.cli import exit_code
from limpetroute.cli import operator_call
from limpetroute.cli import operator_target

POLL_S = 0.5


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    wait_s = _seconds(args['--wait'])
    if wait_s is None:
        print('--wait: allowed is a number of seconds', file=sys.stderr)
        return exit_code.USAGE
    target = operator_call.target_or_explain({'--settings': None, **args})
    if target is None:
        return exit_code.USAGE
    method = 'DELETE' if args['--undo'] else 'POST'
    if args['--this-host']:
        path = '/v1/operator/drain'
    else:
        name = urllib.parse.quote(args['RUNNER'], safe='')
        path = f'/v1/operator/drains/{name}'
    answers = operator_call.ask(target, method, path)
    code = operator_call.explain_failures(answers)
    known = any(answer.body.get('known', True) for answer in answers)
    if code == exit_code.DONE and not known:
        print(f'no host knows {args["RUNNER"]!r}', file=sys.stderr)
        code = exit_code.NO
    if code == exit_code.DONE and wait_s and not args['--this-host']:
        code = _wait_until_idle(target, args['RUNNER'], wait_s)
    if args['--json']:
        hosts = [{'url': answer.url, **answer.body} for answer in answers]
        print(json.dumps({'hosts': hosts, 'exit_code': code}))
    elif code == exit_code.DONE:
        print(f'done on {len(answers)} hosts')
    return code


def _seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < float('inf') else None


def _wait_until_idle(
    target: operator_target.OperatorTarget, runner_id: str, wait_s: float
) -> int:
    deadline_s = time.monotonic() + wait_s
    while True:
        running = 0
        for answer in operator_call.ask(target, 'GET', '/v1/runners'):
            for body in answer.body.get('runners', []):
                if body['runner_id'] != runner_id:
                    continue
                report = body.get('report') or {}
                running = max(running, report.get('running', 0))
        if not running:
            return exit_code.DONE
        if time.monotonic() >= deadline_s:
            print(f'{running} still run on {runner_id}', file=sys.stderr)
            return exit_code.NO
        time.sleep(POLL_S)
