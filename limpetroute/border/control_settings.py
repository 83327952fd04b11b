"""Settings of ``limpetroute control``."""

import pathlib

from limpetroute.border import listen_settings
from limpetroute.border import strict_model


class ControlSettings(strict_model.StrictModel):
    """Settings of ``limpetroute control``."""

    host_id: str
    zone: str
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    data_dir: pathlib.Path
    peer_urls: list[str] = []
