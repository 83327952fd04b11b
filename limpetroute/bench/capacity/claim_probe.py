"""What one claim costs in the control log, on one host's disk."""

import pathlib
import tempfile
import time

from limpetroute import agreement
from limpetroute.bench.capacity import figure
from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import data_folder
from limpetroute.control import journal

CLAIMS = 2000
BATCH = 50
HOST_ID = 'c1'
GROUP = 1


class ClaimProbe:
    """Writes claims to a journal with a sync for each batch."""

    def measure(self) -> list[figure.Figure]:
        """Write, apply and read the sizes."""
        commits = [_claim(number) for number in range(1, CLAIMS + 1)]
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            begun_s, cpu_s = time.perf_counter(), time.process_time()
            _write(folder, commits)
            wall_s = time.perf_counter() - begun_s
            spent_s = time.process_time() - cpu_s
            size = (folder / 'journal').stat().st_size
        state = control_state.ControlState(max_claim_bytes=1 << 30)
        apply_s = time.process_time()
        for index, command in enumerate(commits, 1):
            state.apply(command, index)
        apply_s = time.process_time() - apply_s
        how = f'{CLAIMS} claims, a sync for each {BATCH}'
        return [
            figure.Figure(
                name='claim.log_bytes',
                value=size / CLAIMS,
                unit='B',
                how=how,
            ),
            figure.Figure(
                name='claim.cpu_us',
                value=(spent_s + apply_s) / CLAIMS * 1e6,
                unit='us',
                how=f'{how}; encode, journal and apply on one replica',
            ),
            figure.Figure(
                name='commit.sync_ms',
                value=wall_s / (CLAIMS / BATCH) * 1e3,
                unit='ms',
                how=f'{how}; wall time of one batch',
            ),
        ]


def _write(folder: pathlib.Path, commits: list[commands.MakeClaim]) -> None:
    opened = data_folder.DataFolder(folder=folder, host_id=HOST_ID)
    try:
        for start in range(0, len(commits), BATCH):
            entries = tuple(
                agreement.Entry(
                    index=index, term=1, data=commands.encode(command)
                )
                for index, command in enumerate(
                    commits[start : start + BATCH], start + 1
                )
            )
            save = agreement.SaveEntries(entries=entries)
            opened.journal.write(
                [
                    journal.GroupWrites(
                        group=GROUP, write_id=start + 1, writes=(save,)
                    )
                ]
            )
    finally:
        opened.close()


def _claim(number: int) -> commands.MakeClaim:
    return commands.MakeClaim(
        team='bank',
        key=f'release-{number}',
        body_digest='0' * 64,
        holder='entry-1',
        token=f'{number:024x}',
        at_s=1.0,
    )
