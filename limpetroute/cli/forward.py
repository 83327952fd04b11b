"""Run the process that forwards requests by route.

Usage:
  limpetroute forward --settings FILE

Options:
  --settings FILE  JSON settings; read anew when they change.
  -h --help        Show this help.

Example:
  limpetroute forward --settings /etc/limpetroute/boot.conf
"""

import typing

import docopt

from limpetroute.border import forwarder_settings
from limpetroute.cli import exit_code
from limpetroute.cli import serving
from limpetroute.forwarding import server
from limpetroute.platform import http_dialect
from limpetroute.platform import paths


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    path = args['--settings']
    settings = serving.load_or_explain(
        forwarder_settings.ForwarderSettings, path
    )
    if settings is None:
        return exit_code.USAGE
    return serving.serve(
        lambda: server.ForwarderServer(
            settings=settings,
            dialect=http_dialect.HttpDialect(),
            ready_path=paths.READY,
            read_seeds=serving.ReloadedSettings(
                model=forwarder_settings.ForwarderSettings,
                path=path,
                first=settings,
            ).seeds,
        ),
        _print_ready,
    )


def _print_ready(forwarder: server.ForwarderServer) -> None:
    serving.print_ready_line(f'ready: callers {forwarder.port}')
