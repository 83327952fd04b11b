"""What one request record costs in memory."""

import functools

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import memory
from limpetroute.peers import request_record

RECORDS = 2000
SHORT_EVENTS = 30
LONG_EVENTS = 280


class RecordProbe:
    """Measures records with short and with long answers."""

    def measure(self) -> list[figure.Figure]:
        """Keep records and read the growth."""
        found = []
        for events in (SHORT_EVENTS, LONG_EVENTS):
            make = functools.partial(_record, events)
            each, _ = memory.bytes_each(make, RECORDS)
            found.append(
                figure.Figure(
                    name=f'record.memory_bytes_{events}_events',
                    value=each,
                    unit='B',
                    how=f'{RECORDS} records of {events} events',
                )
            )
        return found


def _record(events: int, number: int) -> request_record.RequestRecord:
    record = request_record.RequestRecord(
        request_id=f'req-{number:024d}',
        team=f'team-{number}',
        key=f'key-{number:020d}',
        body_digest=f'{number:064d}',
        run_id=f'run-{number:016x}',
    )
    for place in range(events):
        record.append(f' word{place}')
    return record
