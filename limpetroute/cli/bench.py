"""Play the decisions on a virtual clock and compare policies.

Usage:
  limpetroute bench run EXPERIMENT [--seeds N] [--cases LIST]
                    [--policies LIST] [--json FILE] [--html FILE]
  limpetroute bench cost [--json FILE]
  limpetroute bench capacity [--json FILE]
  limpetroute bench scheduler [--json FILE]
  limpetroute bench lone-runner [--json FILE]
  limpetroute bench drawn-days [--seeds N] [--json FILE]
  limpetroute bench quotas [--json FILE]
  limpetroute bench streams [--seeds N] [--json FILE]
  limpetroute bench compare BEFORE AFTER

Options:
  --seeds N        Play the first N seeds only (of 10 by default with
                   "streams" and "drawn-days").
  --cases LIST     Names of cases, with commas between them.
  --policies LIST  Policies to play in place of the experiment's own:
                   round_robin, least_load, two_choices, full,
                   without_<decision>; @goodput or @wasted_prefill
                   after a name sets its objective.
  --json FILE      Write the result there.
  --html FILE      Write a report with plots there.
  -h --help        Show this help.

Example:
  limpetroute bench run experiments/federation.json --html report.html

"drawn-days" plays small services that lose runners, and then all hosts,
beside the most that they could earn. "streams" plays bursts, lost
runners and teams on fleets of several shapes; "compare" reads two of
its results, of two revisions, and prints the change of each shape with
its interval over the same seeds.
"""

import dataclasses
import json
import pathlib
import sys
import typing

import docopt
from rich import console as rich_console
from rich import progress

from limpetroute.border import errors
from limpetroute.border import experiment
from limpetroute.border import settings_file
from limpetroute.decisions import routers

EXIT_OK = 0
EXIT_USAGE = 2


def run(argv: typing.Sequence[str]) -> int:
    """Run the command."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, list(argv))
    if args['cost']:
        return _cost(args)
    if args['capacity']:
        return _capacity(args)
    if args['scheduler']:
        return _scheduler(args)
    if args['lone-runner']:
        return _lone_runner(args)
    if args['drawn-days']:
        return _drawn_days(args)
    if args['quotas']:
        return _quotas(args)
    if args['streams']:
        return _streams(args)
    if args['compare']:
        return _compare(args)
    try:
        path = pathlib.Path(args['EXPERIMENT'])
        body = settings_file.load(experiment.ExperimentBody, path)
        body = _narrow(body, args)
    except errors.InvalidInputError as exc:
        for line in exc.lines:
            print(line, file=sys.stderr)
        return EXIT_USAGE
    return _play(body, args)


def _capacity(args: dict[str, typing.Any]) -> int:
    # The first measurements are the memory that imports take, so nothing
    # that this command does not need may be imported before them.
    from limpetroute.bench.capacity import run as capacity_run

    figures, rows = capacity_run.measure()
    capacity_run.show(figures, rows)
    if args['--json'] is not None:
        text = capacity_run.as_json(figures, rows)
        pathlib.Path(args['--json']).write_text(text)
    return EXIT_OK


def _narrow(
    body: experiment.ExperimentBody, args: dict[str, typing.Any]
) -> experiment.ExperimentBody:
    """Limit an experiment to the seeds, cases and policies selected."""
    changes: dict[str, typing.Any] = {}
    if args['--seeds'] is not None:
        count = args['--seeds']
        if not count.isdigit() or not 1 <= int(count) <= len(body.seeds):
            line = f'--seeds: {count!r} is not 1 to {len(body.seeds)}'
            raise errors.InvalidInputError(lines=[line])
        changes['seeds'] = body.seeds[: int(count)]
    if args['--cases'] is not None:
        wanted = args['--cases'].split(',')
        known = {case.name: case for case in body.cases}
        _check('--cases', wanted, list(known))
        changes['cases'] = [known[name] for name in wanted]
    policies = body.policies
    if args['--policies'] is not None:
        policies = args['--policies'].split(',')
        changes['policies'] = policies
    names = [name.partition('@')[0] for name in policies]
    _check('policies', names, routers.names())
    objectives = [name.partition('@')[2] for name in policies]
    _check('policies', objectives, ['', 'goodput', 'wasted_prefill'])
    return body.model_copy(update=changes)


def _check(field: str, wanted: list[str], known: list[str]) -> None:
    for name in wanted:
        if name in known:
            continue
        allowed = ', '.join(item for item in known if item)
        line = f'{field}: {name!r} is not one of: {allowed}'
        raise errors.InvalidInputError(lines=[line])


def _play(body: experiment.ExperimentBody, args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import experiment_run
    from limpetroute.bench import report_html

    total = len(body.cases) * len(body.policies) * len(body.seeds)
    screen = rich_console.Console(stderr=True)
    results = list(
        progress.track(
            experiment_run.plays(body, body.seeds),
            description=body.name,
            total=total,
            console=screen,
        )
    )
    rows = experiment_run.summarize(results)
    for row in rows:
        print(_line(row))
    if args['--json'] is not None:
        result = {'experiment': body.name, 'rows': rows, 'plays': results}
        _write(args['--json'], json.dumps(result, indent=1))
    if args['--html'] is not None:
        page = report_html.render(body.name, body.note, rows)
        _write(args['--html'], page)
    return EXIT_OK


def _line(row: typing.Mapping[str, typing.Any]) -> str:
    goodput = row['goodput_per_s']
    return (
        f'{row["case"]:16} {row["policy"]:24} '
        f'goodput/s {goodput["median"]:7.2f} '
        f'({goodput["least"]:.2f}..{goodput["most"]:.2f}) '
        f'wasted {row["wasted_prefill"]["median"]:.4f} '
        f'wrongly admitted {row["wrongly_admitted"]["median"]:.3f}'
    )


def _cost(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import decision_cost

    rows = decision_cost.measure()
    for row in rows:
        print(
            f'runners {row["runners"]:5} teams {row["teams"]:6} '
            f'queued {row["queued"]:6} '
            f'median {row["median_us"]:7.1f} us '
            f'99th {row["p99_us"]:7.1f} us'
        )
    if args['--json'] is not None:
        _write(args['--json'], json.dumps({'cost': rows}, indent=1))
    return EXIT_OK


def _scheduler(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import scheduler_cost

    rows = scheduler_cost.measure()
    for row in rows:
        print(
            f'runners {row.runners:5} waiting {row.waiting:5} '
            f'median {row.median_us:8.1f} us 99th {row.p99_us:8.1f} us '
            f'room checks {row.room_checks:6.2f}'
        )
    if args['--json'] is not None:
        results = [dataclasses.asdict(row) for row in rows]
        _write(args['--json'], json.dumps({'cost': results}, indent=1))
    return EXIT_OK


def _lone_runner(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import lone_runner

    rows = lone_runner.measure()
    for row in rows:
        print(
            f'slower by {row.slow_factor:.1f} seed {row.seed:2} '
            f'streams {row.streams:4} on time {row.on_time:3} '
            f'late {row.late:3} earned {row.earned:.3f} '
            f'bound on time {row.bound:.3f}'
        )
    if args['--json'] is not None:
        results = [dataclasses.asdict(row) for row in rows]
        _write(args['--json'], json.dumps({'lone_runner': results}, indent=1))
    return EXIT_OK


def _drawn_days(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import drawn_days

    count = args['--seeds'] or '10'
    if not count.isdigit() or not int(count):
        print(f'--seeds: {count!r} is not 1 or more', file=sys.stderr)
        return EXIT_USAGE
    results = []
    for seed in range(int(count)):
        played = drawn_days.play(seed)
        row = drawn_days.result(seed, played)
        bound = drawn_days.bound(played)
        print(
            f'seed {seed:3} runners left {row.runners} '
            f'streams {row.streams:4} on time {row.on_time:3} '
            f'late {row.late:3} cut {row.cut:3} earned {row.earned:.3f} '
            f'bound on time {bound:.3f} served {row.served:.3f} '
            f'largest tenth {row.large_served:.3f} '
            f'next fifth {row.next_served:.3f}'
        )
        results.append({**dataclasses.asdict(row), 'bound': bound})
    if args['--json'] is not None:
        _write(args['--json'], json.dumps({'drawn_days': results}, indent=1))
    return EXIT_OK


def _quotas(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import quota_play

    rows = quota_play.measure()
    for row in rows:
        print(
            f'hosts {row["hosts"]:4} way {row["way"]:8} '
            f'refused within quota {row["refused_within"]:.4f} '
            f'hot team {row["hot_share"]:.3f} '
            f'fullest window {row["most_of_bound"]:.3f} '
            f'calls/s {row["calls_per_s"]:7.1f} '
            f'mean wait {row["mean_wait_ms"]:.2f} ms'
        )
    if args['--json'] is not None:
        _write(args['--json'], json.dumps({'quotas': rows}, indent=1))
    return EXIT_OK


def _streams(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import stream_shapes

    count = args['--seeds'] or '10'
    if not count.isdigit() or not int(count):
        print(f'--seeds: {count!r} is not 1 or more', file=sys.stderr)
        return EXIT_USAGE
    rows = stream_shapes.measure(int(count))
    for row in rows:
        print(
            f'{row.shape:20} seed {row.seed:3} worth {row.worth:.3f} '
            f'on time {row.on_time:4} late {row.late:4} lost {row.lost:4} '
            f'worst team {row.worst_team:.2f}'
        )
    if args['--json'] is not None:
        results = [dataclasses.asdict(row) for row in rows]
        _write(args['--json'], json.dumps({'streams': results}, indent=1))
    return EXIT_OK


def _compare(args: dict[str, typing.Any]) -> int:
    from limpetroute.bench import paired_comparison

    results = []
    for name in (args['BEFORE'], args['AFTER']):
        try:
            body = json.loads(pathlib.Path(name).read_text())
            results.append(body['streams'])
        except (OSError, ValueError, KeyError, TypeError) as exc:
            print(f'{name}: no result of "streams": {exc}', file=sys.stderr)
            return EXIT_USAGE
    for row in paired_comparison.compare(*results):
        print(
            f'{row.shape:20} seeds {row.seeds:3} '
            f'worth {row.before:.3f} -> {row.after:.3f} '
            f'change {row.change:+.4f} '
            f'({row.change - row.half_width:+.4f}'
            f'..{row.change + row.half_width:+.4f})'
        )
    return EXIT_OK


def _write(name: str, text: str) -> None:
    pathlib.Path(name).write_text(text + '\n')
