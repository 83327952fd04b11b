"""Run one stand-in runner, for trials.

Usage:
  limpetroute standin --settings FILE

Options:
  --settings FILE  JSON settings.
  -h --help        Show this help.

Example:
  limpetroute standin --settings examples/federation/review-1.json
"""

import typing

import docopt

from limpetroute.border import standin_settings
from limpetroute.cli import exit_code
from limpetroute.cli import serving
from limpetroute.standins import engine_server
from limpetroute.standins import service_server


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    settings = serving.load_or_explain(
        standin_settings.StandinSettings, args['--settings']
    )
    if settings is None:
        return exit_code.USAGE
    kind: typing.Any = engine_server.EngineServer
    if settings.role == 'service':
        kind = service_server.ServiceServer
    return serving.serve(lambda: kind(settings=settings), _print_ready)


def _print_ready(
    runner: engine_server.EngineServer | service_server.ServiceServer,
) -> None:
    serving.print_ready_line(f'ready: runner {runner.port}')
