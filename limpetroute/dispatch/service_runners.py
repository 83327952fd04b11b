"""The runners of each service, parsed from the control log's rows."""

import dataclasses
import logging
import typing

from limpetroute.control import runner_row
from limpetroute.control import runner_table
from limpetroute.routing import runner_info

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ParsedRow:
    row: runner_row.RunnerRow
    info: runner_info.RunnerInfo


class ServiceRunners:
    """The runners of each service, parsed from the control log's rows.

    Each row is parsed once after it changes. Unchanged runners keep their
    objects.

    Parameters
    ----------
    on_restart : callable
        Called with the identity of a runner that has restarted.
    on_change : callable
        Called after a change with all runners that are registered, and with
        those that have left since the last change.
    """

    def __init__(
        self,
        *,
        on_restart: typing.Callable[[str], None],
        on_change: typing.Callable[
            [list[runner_info.RunnerInfo], list[runner_info.RunnerInfo]], None
        ],
    ) -> None:
        self._on_restart = on_restart
        self._on_change = on_change
        self._parsed_index = -1
        self._rows: dict[str, _ParsedRow] = {}
        self._by_service: dict[str, list[runner_info.RunnerInfo]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(runners={len(self._rows)!r})'

    def get(
        self, service: str, table: runner_table.RunnerTable
    ) -> list[runner_info.RunnerInfo]:
        """Return the runners of a service that are in a table."""
        self.update(table)
        return self._by_service.get(service, [])

    def update(self, table: runner_table.RunnerTable) -> None:
        """Parse the rows that have changed."""
        if table.changed_index == self._parsed_index:
            return
        departed = [
            _info(row)
            for row in table.departed_after(self._parsed_index)
            # A runner may leave that was never announced.
            if row.text
        ]
        self._parsed_index = table.changed_index
        self._parse(table)
        self._on_change([one.info for one in self._rows.values()], departed)

    def _parse(self, table: runner_table.RunnerTable) -> None:
        rows = {}
        self._by_service = {}
        for row in table:
            known = self._rows.get(row.runner_id)
            if known is None or known.row is not row:
                self._note_restart(row, known)
                known = _ParsedRow(row=row, info=_info(row))
            rows[row.runner_id] = known
            self._by_service.setdefault(known.info.service, []).append(
                known.info
            )
        self._rows = rows

    def _note_restart(
        self, row: runner_row.RunnerRow, known: _ParsedRow | None
    ) -> None:
        if known is None or known.row.started_ms == row.started_ms:
            return
        LOG.info(
            'runner restarted',
            extra={'runner': row.runner_id, 'started_ms': row.started_ms},
        )
        self._on_restart(row.runner_id)


def _info(row: runner_row.RunnerRow) -> runner_info.RunnerInfo:
    return runner_info.from_detail(
        runner_id=row.runner_id,
        address=row.address,
        ready=row.state == 'ready',
        detail=row.text,
    )
