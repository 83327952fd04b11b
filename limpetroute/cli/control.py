"""Run one replica of the control log.

Usage:
  limpetroute control --settings FILE

Options:
  --settings FILE  JSON settings.
  -h --help        Show this help.

Example:
  limpetroute control --settings examples/federation/control-1.json
"""

import functools
import sys
import typing

import docopt

from limpetroute.border import control_settings
from limpetroute.cli import exit_code
from limpetroute.cli import serving
from limpetroute.control import folder_error
from limpetroute.control import metrics_component
from limpetroute.control import server
from limpetroute.control import server_component
from limpetroute.dispatch import dispatch_component
from limpetroute.platform import control_port
from limpetroute.platform import orders


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    settings = serving.load_or_explain(
        control_settings.ControlSettings, args['--settings']
    )
    if settings is None:
        return exit_code.USAGE
    try:
        return serving.serve(lambda: _make(settings), _print_ready)
    except folder_error.FolderError as exc:
        print(exc.message, file=sys.stderr)
        return exit_code.USAGE


def _make(
    settings: control_settings.ControlSettings,
) -> server.ControlServer:
    components: list[server_component.MakeComponent] = []
    if settings.public_listen is not None:
        components = [
            functools.partial(
                control_port.ControlPort, listen=settings.public_listen
            ),
            functools.partial(
                dispatch_component.DispatchComponent, codec=orders.Orders()
            ),
        ]
    if settings.metrics is not None:
        components.append(
            functools.partial(
                metrics_component.MetricsComponent, listen=settings.metrics
            )
        )
    return server.ControlServer(settings=settings, make_components=components)


def _print_ready(control: server.ControlServer) -> None:
    serving.print_ready_line(f'ready: control {control.port}')
