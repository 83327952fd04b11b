"""Settings of ``limpetroute control``."""

from limpetroute.border import addresses
from limpetroute.border import listen_settings
from limpetroute.border import names
from limpetroute.border import paths
from limpetroute.border import trust_settings


class ControlSettings(trust_settings.TrustSettings):
    """Settings of ``limpetroute control``."""

    host_id: names.Name
    zone: names.Name
    listen: listen_settings.ListenSettings = listen_settings.ListenSettings()
    data_dir: paths.FilePath
    peer_urls: list[addresses.HostUrl] = []
