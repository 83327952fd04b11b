"""Certificate that a port shows."""

from limpetroute.border import paths
from limpetroute.border import strict_model


class TlsSettings(strict_model.StrictModel):
    """Certificate and key in PEM files, read once at start."""

    cert_file: paths.FilePath
    key_file: paths.FilePath
