"""Latency targets of answers and whether an answer met them."""

import dataclasses

from limpetroute.border import entry_settings
from limpetroute.border import manifest as manifest_module
from limpetroute.entry.records import live_record
from limpetroute.peers import run_end
from limpetroute.telemetry import meters as meters_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LatencyTargets:
    """Targets that an answer must meet to count as goodput.

    Parameters
    ----------
    first_token_s : float
        Longest time to the first token, in seconds.
    token_gap_s : float
        Longest mean time between tokens, in seconds.
    """

    first_token_s: float
    token_gap_s: float

    def measure(
        self, live: live_record.LiveRecord, meters: meters_module.Meters
    ) -> bool:
        """Record an ended request's latencies in the metrics.

        Returns
        -------
        bool
            Whether the request completed within both targets.
        """
        end = live.record.end
        if end is None or end.kind is not run_end.EndKind.COMPLETED:
            return False
        if live.first_token_s is None or live.last_token_s is None:
            return False
        first_s = live.first_token_s - live.arrived_s
        gaps = max(1, len(live.record.events) - 1)
        gap_s = (live.last_token_s - live.first_token_s) / gaps
        meters.first_token(first_s)
        meters.token_gap(gap_s)
        return first_s <= self.first_token_s and gap_s <= self.token_gap_s


def current(
    manifest: manifest_module.ManifestBody | None,
    settings: entry_settings.EntrySettings,
) -> LatencyTargets:
    """Return the manifest's targets, or the settings' without one."""
    source = settings if manifest is None else manifest.targets
    return LatencyTargets(
        first_token_s=source.first_token_s, token_gap_s=source.token_gap_s
    )
