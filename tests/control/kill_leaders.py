"""Kills the leader repeatedly under load and prints the recovery times.

Run by hand: ``python -m tests.control.kill_leaders --kills 20``.
"""

import argparse
import asyncio
import pathlib
import statistics
import tempfile

from tests.control import process_fleet


async def _run(fleet, kills):
    load, waits_s = await process_fleet.kill_leaders(fleet, kills)
    await process_fleet.frozen_leader(fleet, load)
    shown = ' '.join(f'{one:.2f}' for one in waits_s)
    print(f'seconds to the next commit: {shown}')
    print(
        f'kills {kills}, median {statistics.median(waits_s):.2f} s, '
        f'worst {max(waits_s):.2f} s, granted claims {len(load.granted)}, '
        f'accepted manifests {len(load.accepted)}, none lost; '
        'a frozen leader changed nothing'
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--kills', type=int, default=20)
    parser.add_argument('--entries', type=int, default=7)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = process_fleet.ProcessFleet(pathlib.Path(folder), args.entries)
        try:
            asyncio.run(_run(fleet, args.kills))
        finally:
            fleet.stop()


if __name__ == '__main__':
    main()
