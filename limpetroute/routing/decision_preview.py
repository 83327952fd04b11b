"""Works out what a scheduler would decide, without deciding it."""

import math
import pickle
import typing

from limpetroute.routing import placement
from limpetroute.routing import placement_preview
from limpetroute.routing import runner_info
from limpetroute.routing import stream_scheduler


def preview(
    snapshot: bytes,
    request: placement.PlacementRequest,
    runners: typing.Sequence[runner_info.RunnerInfo],
    now_s: float,
    *,
    changing: typing.Collection[str] = (),
) -> placement_preview.PlacementPreview:
    """Return what a scheduler would decide about a new stream.

    Copies of the scheduler decide, so that it may run in another thread.

    Parameters
    ----------
    snapshot : bytes
        From `StreamScheduler.snapshot`.
    request : PlacementRequest
        The stream.
    runners : sequence of RunnerInfo
        The service's runners.
    now_s : float
        Time of the scheduler's clock at the snapshot.
    changing : collection of str
        See `StreamScheduler.decide`.
    """
    before: stream_scheduler.StreamScheduler = pickle.loads(snapshot)
    waiting = before.waiting
    candidates = tuple(
        before.describe_candidates(request, runners, now_s, changing)
    )
    trial: stream_scheduler.StreamScheduler = pickle.loads(snapshot)
    answer = trial.decide_one(request, runners, now_s, changing=changing)
    position = 0
    wait_s = None
    if answer is None:
        position = trial.position(request.request_id)
        start_s = trial.estimated_start_s(request)
        if start_s < math.inf:
            wait_s = max(0.0, start_s - now_s)
    return placement_preview.PlacementPreview(
        answer=answer,
        position=position,
        waiting=waiting,
        start_s=wait_s,
        candidates=candidates,
    )
