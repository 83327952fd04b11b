"""Submit a manifest and say when it is in force.

Usage:
  limpetroute submit MANIFEST --control URLS [--wait S] [--timeout S]
                     [--token-file FILE] [--ca-file FILE] [--json]

Options:
  --control URLS     Addresses of control hosts, separated by commas.
  --wait S           Longest wait for the entry hosts, in seconds
                     [default: 15].
  --timeout S        Longest wait for control's answer, in seconds
                     [default: 10].
  --token-file FILE  Token of the control hosts.
  --ca-file FILE     Authority of their certificates.
  --json             Print JSON for programs.
  -h --help          Show this help.

Sending the same manifest again is safe: it is accepted again.

Exit codes:
  0  accepted, and in force on every host
  1  refused (conflict or stale), or accepted and not yet in force on
     the hosts named
  2  wrong arguments or manifest; nothing was sent
  3  control could not be reached, or the outcome is unknown; send the
     same manifest again to settle it

Example:
  limpetroute submit manifest.json --control http://10.0.0.1:7000
"""

import asyncio
import json
import pathlib
import sys
import typing

import docopt

from limpetroute.border import errors
from limpetroute.border import manifest as manifest_module
from limpetroute.border import settings_file
from limpetroute.cli import exit_code
from limpetroute.control import control_client
from limpetroute.wire import caller
from limpetroute.wire import credentials


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    path = pathlib.Path(args['MANIFEST'])
    try:
        body = settings_file.load(manifest_module.ManifestBody, path)
    except errors.InvalidInputError as exc:
        for line in exc.lines:
            print(f'{path}: {line}', file=sys.stderr)
        return exit_code.USAGE
    urls = [url for url in args['--control'].split(',') if url]
    wait_s = _seconds('--wait', args['--wait'])
    timeout_s = _seconds('--timeout', args['--timeout'])
    if not urls or wait_s is None or timeout_s is None:
        if not urls:
            print('--control: no address given', file=sys.stderr)
        return exit_code.USAGE
    try:
        host_credentials = credentials.load(
            token_file=_path(args['--token-file']),
            ca_file=_path(args['--ca-file']),
        )
    except credentials.CredentialsError as exc:
        print(exc, file=sys.stderr)
        return exit_code.USAGE
    http = caller.Caller(
        tls=host_credentials.client_tls, token=host_credentials.token
    )
    client = control_client.ControlClient(urls=urls, http=http)
    result = asyncio.run(_submit(body, client, wait_s, timeout_s))
    return _show(body, result, as_json=args['--json'])


def _path(text: str | None) -> pathlib.Path | None:
    return pathlib.Path(text) if text else None


def _seconds(name: str, text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if 0 <= value <= 3600:
        return value
    print(f'{name}: {text!r} is not 0 to 3600 seconds', file=sys.stderr)
    return None


async def _submit(
    body: manifest_module.ManifestBody,
    client: control_client.ControlClient,
    wait_s: float,
    timeout_s: float,
) -> control_client.Answered | control_client.NotRun | control_client.Unknown:
    return await client.post(
        path=f'/v1/manifest?wait_s={wait_s}',
        body=body.model_dump_json().encode(),
        timeout_s=timeout_s + wait_s,
        server_wait_s=wait_s,
    )


def _show(
    body: manifest_module.ManifestBody,
    result: control_client.Answered
    | control_client.NotRun
    | control_client.Unknown,
    *,
    as_json: bool,
) -> int:
    if isinstance(result, control_client.Answered):
        answer = result.body
    else:
        name = 'not_run'
        if isinstance(result, control_client.Unknown):
            name = 'unknown'
        answer = {'outcome': name, 'reason': result.reason}
    if as_json:
        print(json.dumps({**answer, 'number': body.number}))
    else:
        print(_sentence(body.number, answer))
    return _exit_code(answer)


def _sentence(number: int, answer: dict[str, typing.Any]) -> str:
    outcome = answer['outcome']
    if outcome == 'accepted':
        again = ' again' if answer['resent'] else ''
        if answer['in_force']:
            return (
                f'manifest {number}: accepted{again}, in force on all '
                f'{answer["hosts"]} hosts'
            )
        hosts = ', '.join(answer['waiting_for'])
        return f'manifest {number}: accepted{again}, not yet on: {hosts}'
    if outcome == 'conflict':
        return (
            f'manifest {number}: conflict: another one won this number, '
            f'digest {answer["winner_digest"]}, sent by '
            f'{answer["winner_sender"]!r}'
        )
    if outcome == 'stale':
        return (
            f'manifest {number}: stale: manifest '
            f'{answer["newest_number"]} is in force'
        )
    if outcome == 'invalid':
        return '\n'.join(answer['errors'])
    if outcome == 'not_run':
        return f'manifest {number}: not run: {answer["reason"]}'
    return (
        f'manifest {number}: unknown: {answer.get("reason")}; send the same '
        'manifest again to settle it'
    )


def _exit_code(answer: dict[str, typing.Any]) -> int:
    outcome = answer['outcome']
    if outcome == 'accepted':
        return exit_code.DONE if answer['in_force'] else exit_code.NO
    if outcome in ('conflict', 'stale'):
        return exit_code.NO
    if outcome == 'invalid':
        return exit_code.USAGE
    return exit_code.UNKNOWN
