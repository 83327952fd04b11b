"""Run the whole path as tasks of one process on loopback.

Usage:
  limpetroute demo [--port N]

Options:
  --port N   Port for callers [default: 8080].
  -h --help  Show this help.

Example:
  limpetroute demo --port 8080
"""

import sys
import typing

import docopt

from limpetroute.cli import demo_fleet
from limpetroute.cli import exit_code
from limpetroute.cli import serving

MAX_PORT = 65535


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    port_text = args['--port']
    if not port_text.isdigit() or int(port_text) > MAX_PORT:
        print(f'--port: {port_text!r} is not 0 to {MAX_PORT}', file=sys.stderr)
        return exit_code.USAGE
    return serving.serve(
        lambda: demo_fleet.DemoFleet(port=int(port_text)),
        _print_ready,
        logs=sys.stderr,
    )


def _print_ready(fleet: demo_fleet.DemoFleet) -> None:
    print(f'ready on http://127.0.0.1:{fleet.port} - try:')
    print(
        f'curl -N http://127.0.0.1:{fleet.port}/v1/completions '
        "-H 'Content-Type: application/json' "
        '-d \'{"model": "review", "prompt": "Check this guarantee", '
        '"max_tokens": 8, "stream": true}\''
    )
    print(f'limpetroute status --host {fleet.internal_url}')
    print(
        'limpetroute submit examples/federation/manifest-1.json '
        f'--control {fleet.control_url}',
        flush=True,
    )
