"""Say what became of a day's requests, from the logs of all hosts.

Usage:
  limpetroute account LOG... [--json]

Options:
  --json     Print one JSON object.
  -h --help  Show this help.

Each stream has one cause: in time, why it was late, why it was refused,
or how it ended. Prompts that were prefilled in vain are listed by cause
and tokens. The last table shows each second of the logs.

Example:
  limpetroute account entry-1.log entry-2.log control-1.log

Exit codes: 0 done, 2 a log cannot be read, 3 no log names a request.
"""

import json
import pathlib
import sys
import typing

import docopt

from limpetroute.cli import day_account
from limpetroute.cli import exit_code
from limpetroute.cli import table

# Characters of the bar of the second with most streams.
BAR_WIDTH = 40
IN_TIME = 'in time'


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    account = day_account.DayAccount()
    for name in args['LOG']:
        try:
            with pathlib.Path(name).open(errors='replace') as log:
                account.read(log)
        except OSError as exc:
            print(f'{name}: cannot be read: {exc.strerror}', file=sys.stderr)
            return exit_code.USAGE
    if not account.streams() and not account.plain():
        print('no line names a request', file=sys.stderr)
        return exit_code.UNKNOWN
    if args['--json']:
        print(json.dumps(_as_json(account)))
    else:
        _show(account)
    return exit_code.DONE


def _as_json(account: day_account.DayAccount) -> dict[str, typing.Any]:
    return {
        'streams': account.causes(),
        'plain': account.plain(),
        'wasted_prompt_tokens': account.wasted(),
        'teams': account.by('team'),
        'seconds': account.by('second'),
    }


def _show(account: day_account.DayAccount) -> None:
    table.show(['streams', 'cause'], _counted(account.causes()))
    print()
    table.show(['tokens', 'prefilled in vain'], _counted(account.wasted()))
    print()
    table.show(['plain requests', 'ended'], _counted(account.plain()))
    print()
    rows = []
    for team, causes in sorted(account.by('team').items()):
        rows.append([team or '-', causes.total(), causes[IN_TIME]])
    table.show(['team', 'streams', IN_TIME], rows)
    print()
    seconds = account.by('second')
    most = max((one.total() for one in seconds.values()), default=1)
    rows = []
    for second, causes in sorted(seconds.items()):
        good = round(BAR_WIDTH * causes[IN_TIME] / most)
        rest = round(BAR_WIDTH * causes.total() / most) - good
        rows.append(
            [second, causes.total(), causes[IN_TIME], '#' * good + '.' * rest]
        )
    table.show(['second', 'streams', IN_TIME, ''], rows)


def _counted(counts: typing.Any) -> list[list[typing.Any]]:
    return [[count, name] for name, count in counts.most_common()]
