"""Predicts waits and costs of a request from the learned estimates."""

from limpetroute.decisions import fleet as fleet_module
from limpetroute.decisions import predictor as predictor_module
from limpetroute.decisions import prefill_placement
from limpetroute.decisions import prefix_index
from limpetroute.decisions import runner_facts
from limpetroute.decisions import runner_state
from limpetroute.decisions import transfer_budget
from limpetroute.decisions import work

CAPACITY_CANDIDATES = 6


class Forecast:
    """Predicts times, costs and free capacity for the other decisions."""

    __slots__ = ('_fleet', '_index', '_predictor', '_transfers')

    def __init__(
        self,
        *,
        fleet: fleet_module.Fleet,
        index: prefix_index.PrefixIndex,
        predictor: predictor_module.Predictor,
        transfers: transfer_budget.TransferBudget,
    ) -> None:
        self._fleet = fleet
        self._index = index
        self._predictor = predictor
        self._transfers = transfers

    def idle_first_token_s(self, item: work.Work) -> float:
        """Time to the first token on an idle fleet."""
        prefill_s = self._predictor.typical_prefill_s(item.prompt_tokens)
        return prefill_s + self.after_prefill_s(item, item.prompt_tokens)

    def prefill_s(self, item: work.Work, tokens: int, now_s: float) -> float:
        """Time to prefill on a runner that has most of the prompt cached."""
        cached = 0.0
        for runner_id in self._index.holders(item.prefix_blocks)[:1]:
            cached = self._index.expected_tokens(
                runner_id, item.prefix_blocks, now_s
            )
        return self._predictor.typical_prefill_s(max(1.0, tokens - cached))

    def after_prefill_s(self, item: work.Work, tokens: int) -> float:
        """Time for the transfer and the first decode step."""
        state = self.least_loaded_decode_runner(item.model)
        if state is None:
            return self._predictor.token_gap_s('')
        transfer_bytes = tokens * state.facts.kv_bytes_per_token
        link = (item.zone, state.facts.zone)
        transfer_s = self._transfers.predict_s(link, transfer_bytes)
        return transfer_s + self._predictor.token_gap_s(state.runner_id)

    def foreign_wait_s(self, model: str) -> float:
        """Wait at a prefill runner caused by the work of other hosts."""
        role = runner_facts.Role.PREFILL
        state = self._fleet.least_loaded_runner(role, model)
        return (
            self._predictor.foreign_wait_s(state.runner_id) if state else 0.0
        )

    def free_in_s(self, model: str, now_s: float) -> float:
        """Time until a prefill runner can take more of this host's work."""
        role = runner_facts.Role.PREFILL
        states = self._fleet.least_loaded(role, model, CAPACITY_CANDIDATES)
        return min((state.free_in_s(now_s) for state in states), default=0.0)

    def first_token_s(
        self,
        item: work.Work,
        tokens: int,
        choice: prefill_placement.PrefillChoice,
    ) -> float:
        """Time to the first token if the chosen runner starts now."""
        return choice.prefill_done_in_s + self.after_prefill_s(item, tokens)

    def cost_s(self, item: work.Work, prefill_s: float) -> float:
        """Time that a request takes of the whole fleet's bottleneck.

        The bottleneck is the largest of prefill time, decode slots and
        KV memory, each divided by the fleet's capacity.
        """
        model = item.model
        prefills = self._fleet.count(runner_facts.Role.PREFILL, model)
        cost_s = prefill_s / max(1, prefills)
        state = self.least_loaded_decode_runner(model)
        if state is None:
            return cost_s
        facts = state.facts
        decodes = self._fleet.count(runner_facts.Role.DECODE, model)
        hold_s = self._predictor.hold_s(model, item.max_tokens)
        cost_s = max(cost_s, hold_s / max(1, decodes * facts.slots))
        kv_bytes = kv_bytes_needed(item, facts)
        pool_bytes = max(1, decodes * facts.kv_capacity_bytes)
        return max(cost_s, hold_s * kv_bytes / pool_bytes)

    def least_loaded_decode_runner(
        self, model: str
    ) -> runner_state.RunnerState | None:
        """Return the decode runner of a model with the most free slots."""
        return self._fleet.least_loaded_runner(runner_facts.Role.DECODE, model)

    def decode_capacity(
        self, model: str, kv_bytes: int, enough: int
    ) -> tuple[int, int, int]:
        """Count free places and this host's reserved slots and bytes.

        Slots that other hosts use will come free too, but each host
        counts only its own: when all seven hosts counted on the same
        slot, it was promised seven times and a tenth of the prefill
        work was wasted.

        Parameters
        ----------
        kv_bytes : int
            KV memory that one request needs.
        enough : int
            Number of free places at which counting stops.

        Returns
        -------
        tuple of int
            Requests that fit now, then slots and bytes that this host
            has reserved.
        """
        free = 0
        busy = 0
        busy_bytes = 0
        role = runner_facts.Role.DECODE
        for state in self._fleet.least_loaded(
            role, model, CAPACITY_CANDIDATES
        ):
            by_bytes = state.free_bytes // max(1, kv_bytes)
            free += max(0, min(state.free_slots, by_bytes))
            if free >= enough:
                break
            busy += len(state.reservations)
            busy_bytes += state.reserved_bytes
        return free, busy, busy_bytes


def kv_bytes_needed(item: work.Work, facts: runner_facts.RunnerFacts) -> int:
    """KV memory that a request needs with an answer of full length."""
    return (item.prompt_tokens + item.max_tokens) * facts.kv_bytes_per_token
