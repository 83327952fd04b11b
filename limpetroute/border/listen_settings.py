"""Settings of an address that a process listens on."""

import ssl

import pydantic

from limpetroute.border import addresses
from limpetroute.border import errors
from limpetroute.border import strict_model
from limpetroute.border import tls_settings
from limpetroute.border import units
from limpetroute.wire import credentials


class ListenSettings(strict_model.StrictModel):
    """Address that a process listens on; port 0 selects a free port.

    A string ``"IP:PORT"`` is accepted for an address without TLS.
    """

    address: addresses.IpAddress = '127.0.0.1'
    port: units.Port = 0
    tls: tls_settings.TlsSettings | None = None

    @pydantic.model_validator(mode='before')
    @classmethod
    def _parse_text(cls, value: object) -> object:
        if not isinstance(value, str):
            return value
        address, _, port = value.rpartition(':')
        if not port.isdecimal():
            raise ValueError('allowed is IP:PORT')
        return {'address': address.strip('[]'), 'port': int(port)}

    def tls_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of the address, or None without TLS.

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
