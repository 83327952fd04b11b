"""Settings of a port's TLS certificate."""

from limpetroute.border import paths
from limpetroute.border import strict_model


class TlsSettings(strict_model.StrictModel):
    """Certificate and key in PEM files, which are read once at start."""

    cert_file: paths.FilePath
    key_file: paths.FilePath
