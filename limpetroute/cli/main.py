"""The ``limpetroute`` program.

Usage:
  limpetroute <command> [<args>...]
  limpetroute -h | --help
  limpetroute --version

Commands:
  entry      Run the process that callers talk to.
  control    Run one replica of the control log.
  forward    Run the process that forwards requests by route.
  explain    Say from the logs what became of a request.
  where      Say where a request would go now; send nothing.
  account    Say from the logs what became of a day's requests.
  demo       Run the whole path as tasks of one process.
  standin    Run one stand-in runner, for trials.
  submit     Submit a manifest and say when it is in force.
  status     Show how each entry host is.
  runners    Show the runners that entry hosts know.
  drain      Give a runner or an entry host no new work.
  requests   List requests that entry hosts hold.
  check      Check settings, manifests and traces; start nothing.
  replay     Play recorded traces and compare their outcomes.
  bench      Compare policies on a virtual clock.

`limpetroute <command> --help` shows each command with an example.

Exit codes:
  0  done
  1  the command ran and the answer is no
  2  wrong arguments, settings or manifest; nothing was started
  3  the system could not be reached, or the outcome is unknown
"""

import importlib
import signal
import sys
import typing

import docopt

import limpetroute
from limpetroute.cli import exit_code

COMMANDS = (
    'entry',
    'control',
    'forward',
    'explain',
    'where',
    'account',
    'demo',
    'standin',
    'status',
    'runners',
    'drain',
    'requests',
    'check',
    'replay',
    'submit',
    'bench',
)
SERVERS = ('entry', 'control', 'forward', 'demo', 'standin')


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    assert __doc__ is not None
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        args = docopt.docopt(
            __doc__,
            arguments,
            version=f'limpetroute {limpetroute.__version__}',
            options_first=True,
        )
    except docopt.DocoptExit as exc:
        print(exc, file=sys.stderr)
        return exit_code.USAGE
    name = args['<command>']
    if name not in COMMANDS:
        allowed = ', '.join(COMMANDS)
        print(f'{name!r} is not one of: {allowed}', file=sys.stderr)
        return exit_code.USAGE
    if name in SERVERS:
        _ignore_hangups()
    module = importlib.import_module(f'limpetroute.cli.{name}')
    try:
        return int(module.run([name, *args['<args>']]))
    except docopt.DocoptExit as exc:
        print(exc, file=sys.stderr)
        return exit_code.USAGE


def _ignore_hangups() -> None:
    """Keep SIGHUP from ending a server.

    Operators send SIGHUP after a change of the settings file. Servers
    need no signal: they read the file again when they need its content.
    They are sent it while they start, too, and their modules take a while
    to load.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
