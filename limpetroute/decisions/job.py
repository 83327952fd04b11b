"""State of one request inside the policy."""

import enum

from limpetroute.decisions import fair_queue
from limpetroute.decisions import work


class Phase(enum.Enum):
    """Phase of a request inside the policy.

    A stranded request is a started answer that every runner has failed;
    it waits for a runner to restart. An awaiting request has its
    prefill result and waits for a decode slot.
    """

    QUEUED = 'queued'
    STRANDED = 'stranded'
    PREFILL = 'prefill'
    AWAITING = 'awaiting'
    TRANSFER = 'transfer'
    DECODE = 'decode'
    OVER = 'over'


class Job:
    """One request and everything that is reserved for it.

    Parameters
    ----------
    item : Work
        The request.
    limit_s : float
        Time by which its first token must arrive.
    """

    __slots__ = (
        'attempts',
        'decode_id',
        'delivered_tokens',
        'expected_cached',
        'failed_runners',
        'gap_tokens',
        'item',
        'kv_bytes',
        'last_token_s',
        'limit_s',
        'over_share',
        'own_work_ahead_s',
        'phase',
        'predicted_s',
        'predicted_wait_s',
        'prefill_done_s',
        'prefill_id',
        'prefill_sent_s',
        'queue_entry',
        'service_s',
        'transfer_count',
        'unreserved_pool',
    )

    def __init__(self, *, item: work.Work, limit_s: float) -> None:
        self.item = item
        self.limit_s = limit_s
        self.phase = Phase.QUEUED
        self.attempts = 0
        self.transfer_count = 0
        self.delivered_tokens = 0
        self.failed_runners: set[tuple[str, int]] = set()
        self.prefill_id: str | None = None
        self.decode_id: str | None = None
        self.kv_bytes = 0
        self.unreserved_pool: frozenset[str] | None = None
        self.over_share = False
        self.queue_entry: fair_queue.Queued | None = None
        self.predicted_wait_s = 0.0
        self.predicted_s = 0.0
        self.service_s = 0.0
        self.own_work_ahead_s = 0.0
        self.expected_cached = 0.0
        self.prefill_sent_s = 0.0
        self.prefill_done_s = 0.0
        self.last_token_s = 0.0
        self.gap_tokens = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(item={self.item!r})'

    @property
    def prefill_tokens(self) -> int:
        """Tokens to prefill: the prompt and the delivered answer."""
        return self.item.prompt_tokens + self.delivered_tokens
