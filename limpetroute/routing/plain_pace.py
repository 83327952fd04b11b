"""Limits plain runners that have just started or come back."""

import typing

from limpetroute.routing import plain_slot_request
from limpetroute.routing import runner_info
from limpetroute.routing import runner_pace
from limpetroute.routing import send_result


class PlainPace:
    """Limits plain runners that have just started or come back.

    Pattern: a runner that starts again is idle, so that its expected time is
    the shortest, and it gets every request of a burst while it is still slow.

    A runner at full work is limited by its slots alone: its answers take as
    long with fewer requests beside, so that a lower limit would only cost
    capacity in a slow spell.
    """

    def __init__(self) -> None:
        self._pace = runner_pace.RunnerPace()
        self._runners: typing.Sequence[runner_info.RunnerInfo] = ()
        self._started_ms: dict[str, int] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(limited={self.limited()!r})'

    def set_runners(
        self, runners: typing.Sequence[runner_info.RunnerInfo], now_s: float
    ) -> None:
        """Replace the runners; one that has restarted starts low."""
        if runners is self._runners:
            return
        self._runners = runners
        for one in runners:
            if self._started_ms.get(one.runner_id, one.started_ms) != (
                one.started_ms
            ):
                self._pace.reset(one.runner_id, now_s)
        self._started_ms = {one.runner_id: one.started_ms for one in runners}
        self._pace.set_runners(
            {
                one.runner_id: runner_pace.PacedRunner(slots=float(one.slots))
                for one in runners
                if one.ready
            },
            now_s,
        )

    def limit(self, runner: runner_info.RunnerInfo, now_s: float) -> float:
        """Return how many requests a runner may have at once."""
        if runner.runner_id not in self._pace.limited():
            return float(runner.slots)
        limit = self._pace.limit(runner.runner_id, now_s)
        return min(float(runner.slots), limit)

    def limited(self) -> dict[str, float]:
        """Return the limits of the runners that are not at full work."""
        return self._pace.limited()

    def take_changes(self) -> list[runner_pace.PaceChange]:
        """Return the runners that became limited or are at full work again."""
        return self._pace.take_changes()

    def note_start(self, runner_id: str, now_s: float) -> None:
        """Record that a request is sent to a runner."""
        if runner_id in self._pace.limited():
            self._pace.note_start(runner_id, now_s)

    def note_end(
        self,
        ended: plain_slot_request.PlainSlotReturn,
        *,
        usual_s: float,
        beside: int,
        now_s: float,
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        ended : PlainSlotReturn
            What its host saw.
        usual_s : float
            Usual time to an answer of the service's runners.
        beside : int
            Other requests at the runner.
        now_s : float
            Monotonic time in seconds.
        """
        runner_id = ended.runner_id
        if runner_id not in self._pace.limited():
            return
        if ended.result == send_result.SendResult.REFUSED:
            self._pace.note_refused(runner_id, now_s, beside)
        elif ended.result in (
            send_result.SendResult.ANSWERED,
            send_result.SendResult.FAILED,
        ):
            self._pace.note_answer(
                runner_id, ended.took_s, usual_s, beside, now_s
            )
