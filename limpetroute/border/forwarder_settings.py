"""Settings of ``limpetroute forward``."""

import pydantic

from limpetroute.border import addresses
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import strict_model
from limpetroute.border import trust_settings
from limpetroute.border import units


class RetryBudgetSettings(strict_model.StrictModel):
    """Second sends to one service, over all hosts; see `RetryBudget`."""

    ratio: float = pydantic.Field(default=0.2, ge=0)
    slack: float = pydantic.Field(default=10.0, ge=0)
    window_s: units.Seconds = 10.0


class ForwarderSettings(trust_settings.TrustSettings):
    """Settings of ``limpetroute forward``.

    Parameters
    ----------
    callers, ready, metrics : ListenSettings
        Where callers, the balancer and metrics are served.
    seeds : list of str
        ``IP:PORT`` of control hosts; read anew when the file changes.
    control_port : int
        Port at which control hosts hear the others.
    grace_s : float
        Time from SIGTERM until the process is killed.
    send_budget : RetryBudgetSettings
        Bound of second sends.
    """

    host_id: names.Name
    zone: names.Name
    callers: listen_settings.ListenSettings
    ready: listen_settings.ListenSettings
    metrics: listen_settings.ListenSettings
    seeds: list[addresses.HostPort]
    control_port: units.Port
    grace_s: units.Seconds = 8.0
    send_budget: RetryBudgetSettings = RetryBudgetSettings()
