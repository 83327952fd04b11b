"""Address a process listens on."""

from limpetroute.border import strict_model
from limpetroute.border import units


class ListenSettings(strict_model.StrictModel):
    """Address a process listens on; port 0 takes a free one."""

    address: str = '127.0.0.1'
    port: units.Port = 0
