"""The table of announced runners in the replicated state."""

import dataclasses
import enum
import typing

from limpetroute.control import commands
from limpetroute.control import runner_row

# Rows of departed runners are kept, so that a late heartbeat does not add
# the runner again. A fleet of 1,800 that is replaced once fits.
MAX_GONE = 2000


class RunnerState(enum.StrEnum):
    """Whether a runner accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


# Until it restarts, a runner changes its state only in this order.
_ORDER = (RunnerState.READY, RunnerState.DRAINING, RunnerState.GONE)


class RunnerTable:
    """The table of announced runners in the replicated state.

    Deterministic: the same commands give the same table on every replica.
    """

    __slots__ = ('_gone', '_rows', 'changed_index')

    def __init__(self) -> None:
        self.changed_index = 0
        self._rows: dict[str, runner_row.RunnerRow] = {}
        self._gone: dict[str, runner_row.RunnerRow] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._rows)!r})'

    def __iter__(self) -> typing.Iterator[runner_row.RunnerRow]:
        return iter(self._rows.values())

    def get(self, runner_id: str) -> runner_row.RunnerRow | None:
        """Return a runner's row, also if it has left."""
        return self._rows.get(runner_id) or self._gone.get(runner_id)

    def departed_after(self, index: int) -> list[runner_row.RunnerRow]:
        """Return the kept rows of runners that left after a log index."""
        return [
            row for row in self._gone.values() if row.changed_index > index
        ]

    def at_address(self, address: str) -> runner_row.RunnerRow | None:
        """Return the runner that is registered at an address."""
        for row in self._rows.values():
            if row.address == address:
                return row
        return None

    def next_after(
        self, index: int, limit: int
    ) -> tuple[list[runner_row.RunnerRow], int]:
        """Return the first rows that changed after a log index.

        Also returns the index up to which the rows are complete. For index
        0, departed runners are left out.
        """
        if index >= self.changed_index:
            return [], index
        rows = list(self._rows.values())
        if index:
            rows.extend(self._gone.values())
        rows = [row for row in rows if row.changed_index > index]
        rows.sort(key=_changed_index)
        if len(rows) <= limit:
            return rows, self.changed_index
        # Two rows change at the same index if one runner takes over the
        # other's address. Rows of one index are returned together.
        last = rows[limit - 1].changed_index
        rows = [row for row in rows if row.changed_index <= last]
        return rows, last

    def is_update(self, command: commands.NoteRunner) -> bool:
        """Return whether an announcement would change the table.

        Most heartbeats repeat the last announcement and need no log entry.
        Neither does an announcement that arrives after a later one, or one
        of a runner that has left.

        A runner may crash and restart under the same identity, which
        restarts its sequence numbers. The start time is compared first:
        otherwise the announcements after a restart would look outdated, and
        the runner would keep its old state, or stay gone, forever.
        """
        known = self.get(command.runner_id)
        if known is None:
            return True
        if command.started_ms != known.started_ms:
            return command.started_ms > known.started_ms
        if known.state == RunnerState.GONE:
            return False
        if command.sequence <= known.sequence:
            return False
        if _rank(command.state) < _rank(known.state):
            return False
        return (known.address, known.text, known.state) != (
            command.address,
            command.text,
            command.state,
        )

    def note(self, command: commands.NoteRunner, index: int) -> None:
        """Apply an announcement.

        A new runner takes over its address. Processes cannot share an address,
        so the runner that was registered there has crashed.
        """
        if not self.is_update(command):
            return
        former = self.at_address(command.address)
        if former is not None and former.runner_id != command.runner_id:
            self.forget(former.runner_id, index)
        self._gone.pop(command.runner_id, None)
        self._rows[command.runner_id] = runner_row.RunnerRow(
            runner_id=command.runner_id,
            address=command.address,
            text=command.text,
            sequence=command.sequence,
            state=command.state,
            changed_index=index,
            started_ms=command.started_ms,
        )
        self.changed_index = index

    def is_valid_departure(self, runner_id: str, started_ms: int = 0) -> bool:
        """Return whether a departure would change the table.

        A late departure message from before a restart changes nothing,
        because the runner is running again.
        """
        known = self.get(runner_id)
        if known is None:
            return True
        if known.state == RunnerState.GONE:
            return started_ms > known.started_ms
        return not started_ms or started_ms >= known.started_ms

    def forget(
        self, runner_id: str, index: int, *, started_ms: int = 0
    ) -> None:
        """Record that a runner has left, even if it is unknown.

        ``started_ms`` is the start of the process that left, in Unix
        milliseconds; 0 stands for any.
        """
        if not self.is_valid_departure(runner_id, started_ms):
            return
        known = self._rows.pop(runner_id, None) or self._gone.pop(
            runner_id, None
        )
        if known is None:
            known = runner_row.RunnerRow(
                runner_id=runner_id,
                address='',
                text='',
                sequence=0,
                state=RunnerState.GONE,
                changed_index=index,
            )
        self._gone[runner_id] = dataclasses.replace(
            known,
            state=RunnerState.GONE,
            changed_index=index,
            started_ms=max(known.started_ms, started_ms),
        )
        while len(self._gone) > MAX_GONE:
            del self._gone[next(iter(self._gone))]
        self.changed_index = index

    def dump(self) -> list[list[object]]:
        """Return the whole table for a snapshot."""
        rows = [*self._rows.values(), *self._gone.values()]
        return [list(dataclasses.astuple(row)) for row in rows]

    def load(self, rows: list[list[typing.Any]]) -> None:
        """Load the result of `dump` into an empty table."""
        names = [
            field.name for field in dataclasses.fields(runner_row.RunnerRow)
        ]
        for values in rows:
            # Snapshots of an earlier release lack the last field.
            row = runner_row.RunnerRow(
                **dict(zip(names, values, strict=False))
            )
            rows_by_id = self._rows
            if row.state == RunnerState.GONE:
                rows_by_id = self._gone
            rows_by_id[row.runner_id] = row
            self.changed_index = max(self.changed_index, row.changed_index)


def _changed_index(row: runner_row.RunnerRow) -> int:
    return row.changed_index


def _rank(state: str) -> int:
    return _ORDER.index(RunnerState(state))
