"""Address a process listens on."""

import ssl

from limpetroute.border import addresses
from limpetroute.border import errors
from limpetroute.border import strict_model
from limpetroute.border import tls_settings
from limpetroute.border import units
from limpetroute.wire import credentials


class ListenSettings(strict_model.StrictModel):
    """Address a process listens on; port 0 takes a free one."""

    address: addresses.IpAddress = '127.0.0.1'
    port: units.Port = 0
    tls: tls_settings.TlsSettings | None = None

    def tls_context(self) -> ssl.SSLContext | None:
        """Make the context of the port, or None for plain text.

        Raises
        ------
        InvalidInputError
            If the certificate or key cannot be used.
        """
        if self.tls is None:
            return None
        try:
            return credentials.server_context(
                self.tls.cert_file, self.tls.key_file
            )
        except credentials.CredentialsError as exc:
            line = f'tls.{exc}'
            raise errors.InvalidInputError(lines=[line]) from exc
