"""State of the policy for one model."""

import collections
import typing

from limpetroute.decisions import admission
from limpetroute.decisions import drain_rate
from limpetroute.decisions import fair_queue
from limpetroute.decisions import job as job_module
from limpetroute.decisions import retry_promises
from limpetroute.decisions import short_lane


class ModelState:
    """Queue, drain rate and retry promises of one model.

    Parameters
    ----------
    shares : mapping of str to float
        Weights of the teams.
    fair : bool
        Whether each team has its own queue.
    lanes : bool
        Whether long requests have their own lane.
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
        # Started answers that every runner has failed. They are not
        # queued: at the head of the queue they would block all others.
        self.stranded: dict[str, job_module.Job] = {}
        self.no_runners_since_s: float | None = None

    def bias(self, *, long: bool, over_share: bool) -> admission.WaitBias:
        """Return the prediction errors of requests of the same kind.

        Predictions for long prompts are wrong by seconds; with the same
        margin, no short request would be admitted. In the same way, a
        team far over its share often misses its targets, and its margin
        must not apply to the other teams.
        """
        return self._biases[2 * long + over_share]

    @property
    def idle(self) -> bool:
        """Whether no request is queued, awaiting or stranded."""
        return not (self.queue or self.awaiting or self.stranded)
