"""Ejects runners whose recent streams failed."""

import math
import typing

from limpetroute.routing import runner_info
from limpetroute.routing import runner_load

# Time for which slots used by hosts without contact to the leader are
# counted after a runner refused a stream. Their streams last longer, but
# the leader does not see when one of them ends.
HIDDEN_SLOTS_VALID_S = 1.5
# Time for which a runner that refused a placed stream ranks last. Overload
# mostly lasts for a few streams.
SHEDDING_VALID_S = 3.0
# Longest ejection of a runner whose pace is limited. The limit already keeps
# requests from it; it must be at full work within two seconds.
MAX_PACED_EJECTION_S = 0.5


class OutlierDetector:
    """Ejects runners whose recent streams failed.

    A runner may pass its health checks and still fail its requests, so
    the detector uses only the outcome of the streams sent to it.

    Parameters
    ----------
    stream_count : callable
        Returns the number of streams at a runner.
    """

    def __init__(self, *, stream_count: typing.Callable[[str], int]) -> None:
        self._stream_count = stream_count
        self._failing: dict[str, runner_load.RunnerLoad] = {}
        self._hidden_slots: dict[str, tuple[int, float]] = {}
        self._sheds_until_s: dict[str, float] = {}
        # Whether limits by pace are in effect.
        self.is_paced = False

    def __repr__(self) -> str:
        return f'{type(self).__name__}(failing={self._failing!r})'

    def note_failure(self, runner_id: str, now_s: float) -> None:
        """Record that a stream failed at a runner."""
        load = self._failing.setdefault(runner_id, runner_load.RunnerLoad())
        load.note_failure(now_s)
        if self.is_paced:
            load.ejected_until_s = min(
                load.ejected_until_s, now_s + MAX_PACED_EJECTION_S
            )

    def note_success(self, runner_id: str) -> None:
        """Record that a stream succeeded at a runner."""
        self._failing.pop(runner_id, None)

    def reset(self, runner_id: str) -> None:
        """Remove the records of a runner that has restarted."""
        self._failing.pop(runner_id, None)
        self._hidden_slots.pop(runner_id, None)
        self._sheds_until_s.pop(runner_id, None)

    def note_backoffs(self, until_s: typing.Mapping[str, float]) -> None:
        """Record which runners asked a host to back off, and until when."""
        for runner_id, end_s in until_s.items():
            known_s = self._sheds_until_s.get(runner_id, end_s)
            self._sheds_until_s[runner_id] = max(known_s, end_s)

    def note_shedding(
        self, runner_ids: typing.Iterable[str], now_s: float
    ) -> None:
        """Record runners that refused a stream that was placed there."""
        self.note_backoffs(dict.fromkeys(runner_ids, now_s + SHEDDING_VALID_S))

    def sheds(self, runner_id: str, now_s: float) -> bool:
        """Return whether a runner has refused streams of some host.

        It still serves other streams, but is likely to refuse some of them.
        """
        return now_s < self._sheds_until_s.get(runner_id, -math.inf)

    def note_full(self, runner_id: str, hidden: int, now_s: float) -> None:
        """Record that a runner refused a stream because it is full.

        A host that cannot reach the leader places streams locally. The
        leader does not see these streams; it only sees that the runner
        refuses streams although it should have free slots. If the hidden
        slots were not counted, the leader would keep choosing this runner,
        and each time the prompt would be prefilled in vain.
        """
        self._hidden_slots[runner_id] = (
            max(1, hidden),
            now_s + HIDDEN_SLOTS_VALID_S,
        )

    def hidden_slots(self, runner_id: str, now_s: float) -> int:
        """Return the assumed number of slots that unseen streams use."""
        hidden, until_s = self._hidden_slots.get(runner_id, (0, 0.0))
        return hidden if now_s < until_s else 0

    def ejected(
        self, stage_runners: typing.Container[str], now_s: float
    ) -> set[str]:
        """Return the runners of a stage that get no streams now.

        After its ejection time, a failed runner gets a single stream, and
        further streams only after that one has succeeded. If all its slots
        were filled at once, a runner that is still faulty would fail all
        of these streams.

        Parameters
        ----------
        stage_runners : container of str
            Identities of the runners of one stage.
        now_s : float
            Time of a monotonic clock.
        """
        return {
            runner_id
            for runner_id, load in self._failing.items()
            if runner_id in stage_runners
            and (load.is_ejected(now_s) or self._stream_count(runner_id) > 0)
        }

    def gone_s(
        self, runners: typing.Iterable[runner_info.RunnerInfo], now_s: float
    ) -> dict[str, float]:
        """Return for how long runners have seemed gone, by identity.

        Runners that do not seem gone are left out.
        """
        if not self._failing:
            return {}
        durations_s = {}
        for runner in runners:
            seemed_s = self.runner_gone_s(runner.runner_id, now_s)
            if seemed_s:
                durations_s[runner.runner_id] = seemed_s
        return durations_s

    def runner_gone_s(self, runner_id: str, now_s: float) -> float:
        """Return for how long a runner has seemed gone, or 0."""
        load = self._failing.get(runner_id)
        return load.gone_s(now_s) if load is not None else 0.0
