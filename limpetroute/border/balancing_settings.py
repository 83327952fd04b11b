"""Settings of how the load is balanced, and the headers that carry it."""

import math

import pydantic

from limpetroute.border import strict_model
from limpetroute.routing import balancing

# Of a request to ``POST /v1/entry-hosts``: the host's cores.
CORES_HEADER = 'Limpetroute-Host-Cores'
# Of its response: 'shared' or 'local'.
BALANCING_HEADER = 'Limpetroute-Balancing'
# Of its response, if the leader leases slots of plain runners.
PLAIN_SLOTS_HEADER = 'Limpetroute-Plain-Slots'


class BalancingSettings(strict_model.StrictModel):
    """How the load is balanced; the same on all hosts.

    Parameters
    ----------
    mode : BalancingMode
        See `Balancing`.
    """

    mode: balancing.BalancingMode = balancing.BalancingMode.AUTO


class CapacitySettings(strict_model.StrictModel):
    """Processor capacity of a host.

    Parameters
    ----------
    cpu_share : float
        Share of the time of a core that the host has.
    cores : float
        Speed of that core in usual cores.
    """

    cpu_share: float = pydantic.Field(default=1.0, gt=0, allow_inf_nan=False)
    cores: float = pydantic.Field(default=1.0, gt=0, allow_inf_nan=False)

    @property
    def total_cores(self) -> float:
        """Capacity in usual cores."""
        return self.cpu_share * self.cores


def parse_cores(text: str | None) -> float | None:
    """Return the cores in a header; None if absent or invalid."""
    try:
        cores = float(text or '')
    except ValueError:
        return None
    return cores if math.isfinite(cores) and cores > 0 else None
