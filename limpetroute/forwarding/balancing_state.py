"""Whether this host shares its load with the leader."""

import asyncio
import logging
import math

from limpetroute.routing import balancing

LOG = logging.getLogger(__name__)

# Without a report from the leader for this long, the host decides by itself.
VALID_S = 10.0


class BalancingState:
    """Whether this host shares its load with the leader.

    Parameters
    ----------
    mode : BalancingMode
        ``LOCAL`` keeps this host from it, whatever the leader asks for.
    """

    def __init__(
        self,
        *,
        mode: balancing.BalancingMode = balancing.BalancingMode.AUTO,
    ) -> None:
        self._may_share = mode is not balancing.BalancingMode.LOCAL
        self._is_shared = False
        self._leases_plain_slots = False
        self._told_s = -math.inf

    def __repr__(self) -> str:
        return f'{type(self).__name__}(is_shared={self._is_shared!r})'

    @property
    def may_share(self) -> bool:
        """Whether the settings let this host share its load."""
        return self._may_share

    @property
    def is_shared(self) -> bool:
        """Whether the leader has asked for it lately."""
        return self._is_shared and _now_s() - self._told_s <= VALID_S

    @property
    def leases_plain_slots(self) -> bool:
        """Whether the leader leases slots of plain runners."""
        return self.is_shared and self._leases_plain_slots

    def note(
        self, text: str | None, *, leases_plain_slots: bool = False
    ) -> None:
        """Record what the leader's response says.

        Parameters
        ----------
        text : str or None
            The mode; None if it names none.
        leases_plain_slots : bool
            Whether the leader leases slots of plain runners.
        """
        self._leases_plain_slots = leases_plain_slots
        is_shared = self._may_share and text == balancing.BalancingMode.SHARED
        if is_shared != self._is_shared:
            LOG.info('balancing changed', extra={'is_shared': is_shared})
        self._is_shared = is_shared
        self._told_s = _now_s()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
