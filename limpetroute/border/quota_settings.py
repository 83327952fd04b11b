"""Settings of how teams' quotas are kept."""

import pydantic

from limpetroute.border import strict_model
from limpetroute.border import units
from limpetroute.routing import quota_window


class QuotaSettings(strict_model.StrictModel):
    """How teams' quotas are kept; the same on all hosts.

    Parameters
    ----------
    window_s : float
        A team may use its rate times this and its burst in any such window.
    excess : float
        By which share of that no window may exceed it.
    slack : float
        By how many units more no window may exceed it.
    """

    window_s: units.Seconds = 8.0
    excess: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)
    slack: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)

    def to_window(self) -> quota_window.QuotaWindow:
        """Return the settings as the decisions use them."""
        return quota_window.QuotaWindow(
            window_s=self.window_s, excess=self.excess, slack=self.slack
        )
