"""Settings of how connections are kept."""

import pydantic

from limpetroute.border import strict_model

MAX_IDLE_S = 30.0


class ConnectionSettings(strict_model.StrictModel):
    """How connections to runners and to the leader are kept.

    Parameters
    ----------
    idle_s : float
        Longest time that an idle connection is kept; 0 keeps none. The
        server may allow less.
    """

    idle_s: float = pydantic.Field(
        default=2.0, ge=0, le=MAX_IDLE_S, allow_inf_nan=False
    )
