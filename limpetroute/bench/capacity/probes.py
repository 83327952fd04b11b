"""All probes but the one of imports."""

from limpetroute.bench.capacity import claim_probe
from limpetroute.bench.capacity import manifest_probe
from limpetroute.bench.capacity import peer_probe
from limpetroute.bench.capacity import probe as probe_module
from limpetroute.bench.capacity import record_probe
from limpetroute.bench.capacity import runner_probe
from limpetroute.bench.capacity import stream_probe
from limpetroute.bench.capacity import wire_probe


def probes() -> list[probe_module.Probe]:
    """Return the probes; memory first, while the heap is still clean."""
    return [
        record_probe.RecordProbe(),
        runner_probe.RunnerProbe(),
        manifest_probe.ManifestProbe(),
        wire_probe.WireProbe(),
        claim_probe.ClaimProbe(),
        peer_probe.PeerProbe(),
        stream_probe.StreamProbe(),
    ]
