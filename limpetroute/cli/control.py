"""Run one replica of the control log.

Usage:
  limpetroute control --settings FILE

Options:
  --settings FILE  JSON settings.
  -h --help        Show this help.

Example:
  limpetroute control --settings examples/federation/control-1.json
"""

import typing

import docopt

from limpetroute.border import control_settings
from limpetroute.cli import exit_code
from limpetroute.cli import serving
from limpetroute.control import server


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    settings = serving.load_or_explain(
        control_settings.ControlSettings, args['--settings']
    )
    if settings is None:
        return exit_code.USAGE
    return serving.serve(
        lambda: server.ControlServer(settings=settings), _print_ready
    )


def _print_ready(control: server.ControlServer) -> None:
    print(f'ready: control {control.port}', flush=True)
