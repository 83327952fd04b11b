"""What the policy keeps for one model."""

import collections
import typing

from limpetroute.decisions import admission
from limpetroute.decisions import drain_rate
from limpetroute.decisions import fair_queue
from limpetroute.decisions import job as job_module
from limpetroute.decisions import retry_promises
from limpetroute.decisions import short_lane


class ModelState:
    """Queue, drain rate and appointments of one model.

    Parameters
    ----------
    shares : mapping of str to float
        Weights of the teams.
    fair : bool
        Whether teams have queues of their own.
    lanes : bool
        Whether short work has a lane of its own.
    """

    __slots__ = (
        '_biases',
        'awaiting',
        'drain_rate',
        'no_runners_since_s',
        'queue',
        'retry_promises',
        'short_lane',
        'stranded',
    )

    def __init__(
        self,
        *,
        shares: typing.Mapping[str, float],
        fair: bool,
        lanes: bool,
    ) -> None:
        self.queue = fair_queue.FairQueue(
            shares=shares, fair=fair, lanes=lanes
        )
        self.drain_rate = drain_rate.DrainRate()
        self._biases = tuple(admission.WaitBias() for _ in range(4))
        self.short_lane = short_lane.ShortLane()
        self.retry_promises = retry_promises.RetryPromises()
        self.awaiting: collections.OrderedDict[str, job_module.Job] = (
            collections.OrderedDict()
        )
        # Begun answers that every runner there is has failed. Kept out
        # of the queue: at its head, one of them would stop all others.
        self.stranded: dict[str, job_module.Job] = {}
        self.no_runners_since_s: float | None = None

    def bias(self, *, long: bool, over_share: bool) -> admission.WaitBias:
        """Return what was learned of like requests.

        Dossiers err by seconds; were lookups judged by that, none
        would be let in. In the same way a team that sends far over its
        share misses often, and others must not pay with its margin.
        """
        return self._biases[2 * long + over_share]

    @property
    def idle(self) -> bool:
        """Whether nothing is queued or held."""
        return not (self.queue or self.awaiting or self.stranded)
