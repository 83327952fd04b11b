"""Soak real processes: python -m tests.soak [--seeds 1-50] [options].

Options are --teams and --cuts, --silences, --versions, --losses,
--stops, --bodies, --herds, --leaders, --holds, --dark,
--trouble, or --crowds.
Prints a line for each seed, with its folder of logs where it failed.
"""

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile

from tests.soak import orders as orders_module
from tests.soak import plan
from tests.soak import soak


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-5')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--teams', action='store_true')
    parser.add_argument('--cuts', action='store_true')
    parser.add_argument('--silences', action='store_true')
    parser.add_argument('--versions', action='store_true')
    parser.add_argument('--losses', action='store_true')
    parser.add_argument('--stops', action='store_true')
    parser.add_argument('--bodies', action='store_true')
    parser.add_argument('--herds', action='store_true')
    parser.add_argument('--leaders', action='store_true')
    parser.add_argument('--holds', action='store_true')
    parser.add_argument('--dark', action='store_true')
    parser.add_argument('--trouble', action='store_true')
    parser.add_argument('--crowds', action='store_true')
    args = parser.parse_args()
    if args.versions and (args.teams or args.cuts or args.silences):
        parser.error('--versions goes with no other option')
    if args.losses and (args.versions or args.cuts or args.silences):
        parser.error('--losses goes with no option but --teams')
    alone = (
        'stops',
        'bodies',
        'herds',
        'leaders',
        'holds',
        'dark',
        'trouble',
        'crowds',
    )
    given = [name for name, value in vars(args).items() if value is True]
    if len(given) > 1 and any(name in given for name in alone):
        parser.error(f'{", ".join(alone)} go with no other option')
    first, _, last = args.seeds.partition('-')
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        run = soak.Soak(
            folder,
            seed,
            args.seconds,
            grows=True,
            has_teams=args.teams,
            has_cuts=args.cuts,
            has_silences=args.silences,
            has_versions=args.versions or args.herds,
            has_herds=args.herds,
            has_losses=args.losses,
            has_stops=args.stops,
            has_bodies=args.bodies,
            has_leaders=args.leaders,
            has_holds=args.holds,
            has_dark=args.dark,
            has_trouble=args.trouble,
            has_crowds=args.crowds,
            first_version=plan.FIRST_VERSIONS[seed % len(plan.FIRST_VERSIONS)],
        )
        try:
            broken = asyncio.run(run.run())
        except AssertionError as exc:
            broken = [str(exc)]
        answers = run.promises.answers
        good = sum(one.status == 200 and one.whole for one in answers)
        over = sum(one.status == 429 for one in answers)
        print(f'seed {seed}: {len(answers)} requests, {good} whole', end='')
        print(f', {over} over quota' if args.teams else '', end='')
        if args.versions or args.herds:
            taken_up = [
                one for one in run.promises.streams if len(one.attempts) > 1
            ]
            whole = sum(one.is_whole for one in taken_up)
            print(f', {len(taken_up)} taken up, {whole} whole', end='')
        if args.bodies:
            served = sum(one == 200 for one in run.large.values())
            print(f', {served} of {len(run.large)} large bodies', end='')
            print(f' served, {run.watch.peak_mb:.0f} MB at most', end='')
        if args.crowds:
            print(f', {run.crowds} crowds', end='')
            peak_mb = run.control_watch.peak_mb
            print(f', {peak_mb:.0f} MB at most', end='')
        if args.stops:
            print(f', {run.long_calls} long calls served', end='')
        if args.trouble:
            troubled = sum(one.troubled for one in run.world.runners)
            print(f', {troubled} answers in trouble', end='')
        if args.dark:
            print(f', brief calls {dict(run.brief_calls)}', end='')
        if args.losses:
            print(f', {run.replaced_controls} control hosts gone', end='')
        if run.orders:
            print(f', {len(run.orders)} orders', end='')
            changes = orders_module.changes(run.orders)
            print(f', {changes} changes of their sender', end='')
        if not broken:
            print(', kept')
            shutil.rmtree(folder)
            continue
        failed += 1
        print(f', BROKEN, logs in {folder}')
        for line in broken[:5]:
            print(f'    {line}')
    return min(failed, 1)


if __name__ == '__main__':
    sys.exit(main())
