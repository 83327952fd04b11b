"""Works out what the measured slopes mean at goal size."""

import typing

from limpetroute.bench.capacity import figure
from limpetroute.bench.capacity import goal as goal_module
from limpetroute.bench.capacity import row

# Defaults of the settings that the sums rest on.
HEARTBEAT_S = 0.5
RETAIN_S = 300.0
ANNOUNCED_HOSTS_TODAY = 7
DAY_S = 86400.0
# Calls between hosts for one request, counted by the oversubscription
# run of the tests: room, copies, reaper. A look-up asks every host.
ROOM_CALLS = 1.7
COPY_CALLS = 5.1
REAPER_CALLS = 0.7
# A change sent alone: a team or a version, with its number.
DELTA_BYTES = 1000.0
LEAN_HEARTBEAT_S = 2.0
LEAN_REPORT_BYTES = 300.0
LEAN_ANNOUNCED_HOSTS = 2
PEERS = 'peer.calls_per_s_350'


class Worksheet:
    """Sums for one node at goal size.

    Parameters
    ----------
    figures : sequence of Figure
        What was measured.
    goal : Goal
        The size.

    Raises
    ------
    ValueError
        If a figure's name stands twice.
    """

    __slots__ = ('_goal', '_values')

    def __init__(
        self,
        *,
        figures: typing.Sequence[figure.Figure],
        goal: goal_module.Goal,
    ) -> None:
        self._goal = goal
        self._values: dict[str, float] = {}
        for item in figures:
            if item.name in self._values:
                raise ValueError(f'measured twice: {item.name!r}')
            self._values[item.name] = item.value

    def __repr__(self) -> str:
        return f'{type(self).__name__}(figures={len(self._values)!r})'

    def rows(self) -> list[row.Row]:
        """Return every bound, as built today and with what must change."""
        return [
            self._core_today(),
            self._core_lean(),
            self._bytes_today(),
            self._bytes_lean(),
            self._memory(),
            self._data_core(),
            self._log(),
        ]

    @property
    def _call_us(self) -> float:
        made = self._values['wire.call_client_cpu_us']
        taken = self._values['wire.call_server_cpu_us']
        return (made + taken) / 2

    def _core_today(self) -> row.Row:
        goal = self._goal
        beats = goal.runners / HEARTBEAT_S
        lookups = goal.requests_per_node_s * (goal.nodes - 1) * 2
        return self._core(
            'entry: core for control, as built',
            beats,
            lookups,
            'peers, announcements of all runners to all hosts, room, '
            'copies, look-ups at all hosts',
        )

    def _core_lean(self) -> row.Row:
        goal = self._goal
        heard = goal.runners_per_node * LEAN_ANNOUNCED_HOSTS
        lookups = goal.requests_per_node_s * 2
        return self._core(
            'entry: core for control, with the changes',
            heard / LEAN_HEARTBEAT_S,
            lookups,
            'peers, announcements to the lease holder and one more host '
            'each 2 s, room, copies, look-ups at one host by key',
        )

    def _core(
        self, what: str, beats: float, lookups: float, terms: str
    ) -> row.Row:
        goal = self._goal
        each = 2 * (ROOM_CALLS + COPY_CALLS + REAPER_CALLS)
        calls = self._values[PEERS] + beats + lookups
        calls += goal.requests_per_node_s * each
        share = calls * self._call_us / 1e6
        share += beats * self._values['runner.announcement_cpu_us'] / 1e6
        share += self._values['peer.core_percent_350'] / 100
        return row.Row(
            what=what,
            worked_out=share * 100,
            bound=goal.core_share * 100,
            unit='% of a core',
            terms=terms,
        )

    def _bytes_today(self) -> row.Row:
        goal = self._goal
        around = self._values['wire.call_overhead_bytes']
        beat = self._values['runner.announcement_body_bytes'] + around
        beats = goal.runners / HEARTBEAT_S * beat
        changes = goal.changes_per_day / DAY_S
        manifest = changes * self._values['manifest.body_bytes']
        total = self._values['peer.bytes_per_s_350'] + beats + manifest
        return row.Row(
            what='entry: bytes for control, as built',
            worked_out=total,
            bound=goal.wire_bytes_per_s,
            unit='B/s',
            terms='peers, announcements of all runners, whole manifests',
        )

    def _bytes_lean(self) -> row.Row:
        goal = self._goal
        heard = goal.runners_per_node * LEAN_ANNOUNCED_HOSTS
        beats = heard / LEAN_HEARTBEAT_S * LEAN_REPORT_BYTES
        changes = goal.changes_per_day / DAY_S * DELTA_BYTES
        total = self._values['peer.bytes_per_s_350'] + beats + changes
        return row.Row(
            what='entry: bytes for control, with the changes',
            worked_out=total,
            bound=goal.wire_bytes_per_s,
            unit='B/s',
            terms='peers, lean announcements to two hosts, changes alone',
        )

    def _memory(self) -> row.Row:
        goal = self._goal
        idle = self._values['memory.after.limpetroute.entry.server'] * 1e6
        live_s = RETAIN_S + goal.tokens_per_request * 0.031
        records = goal.requests_per_node_s * live_s
        # Each record stands at its owner and at one heir.
        record = self._values['record.memory_bytes_280_events']
        manifest = self._values['manifest.memory_bytes']
        runners = goal.runners * self._values['runner.memory_bytes']
        total = idle + 2 * records * record + manifest + runners
        return row.Row(
            what='entry: memory, as built',
            worked_out=total / 2**20,
            bound=goal.memory_bytes / 2**20,
            unit='MiB',
            terms='imports, records of 300 s and copies of as many, '
            'manifest, directory of all runners',
        )

    def _data_core(self) -> row.Row:
        goal = self._goal
        tokens = self._values['entry.cpu_per_token_us']
        requests = self._values['entry.cpu_per_request_us']
        spent = goal.tokens_per_node_s * tokens
        spent += goal.requests_per_node_s * requests
        return row.Row(
            what='entry: core for callers (no bound stated; one core)',
            worked_out=spent / 1e6 * 100,
            bound=100.0,
            unit='% of a core',
            terms='tokens and requests of one node of 350',
        )

    def _log(self) -> row.Row:
        goal = self._goal
        size = goal.changes_per_day * self._values['manifest.body_bytes']
        return row.Row(
            what='control: log growth a day, whole manifests (of 1 TB)',
            worked_out=size / 1e9,
            bound=1000.0,
            unit='GB',
            terms='9,000 manifests of 13,000 teams, before compaction',
        )
