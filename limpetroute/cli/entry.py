"""Run the process that callers talk to.

Usage:
  limpetroute entry --settings FILE

Options:
  --settings FILE  JSON settings.
  -h --help        Show this help.

Example:
  limpetroute entry --settings examples/federation/entry-1.json
"""

import typing

import docopt

from limpetroute.border import entry_settings
from limpetroute.cli import exit_code
from limpetroute.cli import serving
from limpetroute.entry import server


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    settings = serving.load_or_explain(
        entry_settings.EntrySettings, args['--settings']
    )
    if settings is None:
        return exit_code.USAGE
    return serving.serve(
        lambda: server.EntryServer(settings=settings), _print_ready
    )


def _print_ready(entry: server.EntryServer) -> None:
    serving.print_ready_line(
        f'ready: callers {entry.port}, internal {entry.internal_port}'
    )
