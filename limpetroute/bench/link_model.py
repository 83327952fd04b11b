"""Links with a rate, shared by all transfers that use them."""

import random
import typing

from limpetroute.bench import clock as clock_module
from limpetroute.border import experiment


class LinkModel:
    """One link for each ordered pair of zones; transfers queue on it.

    Parameters
    ----------
    clock : Clock
        The virtual clock.
    shape : DeploymentBody
        Rate and distance.
    random : random.Random
        Chooses the transfers that stall.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        shape: experiment.DeploymentBody,
        random: random.Random,
    ) -> None:
        self._clock = clock
        self._shape = shape
        self._random = random
        self._free_s: dict[tuple[str, str], float] = {}
        self.rate_factor = 1.0
        self.stall_fraction = 0.0

    def send(
        self,
        source: str,
        target: str,
        kv_bytes: int,
        on_done: typing.Callable[[], None],
    ) -> clock_module.Timer | None:
        """Move bytes; returns None where the transfer stalls for good."""
        if self.stall_fraction > 0:
            if self._random.random() < self.stall_fraction:
                return None
        now_s = self._clock.now_s
        route = (source, target)
        start_s = max(now_s, self._free_s.get(route, 0.0))
        rate = self._shape.link_bytes_per_s * self.rate_factor
        end_s = start_s + kv_bytes / rate
        self._free_s[route] = end_s
        hop_s = self._shape.hop_s
        if source != target:
            hop_s += self._shape.zone_hop_s
        return self._clock.at(end_s + hop_s, on_done)
