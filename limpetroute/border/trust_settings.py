"""Settings of authentication between the processes of a deployment."""

from limpetroute.border import errors
from limpetroute.border import paths
from limpetroute.border import strict_model
from limpetroute.wire import credentials


class TrustSettings(strict_model.StrictModel):
    """Token and CA certificate for calls of processes and operators.

    The token file has one token per line. The first token is sent, and
    each of them is accepted, so tokens can be rotated without downtime.
    """

    demo: bool = False
    token_file: paths.FilePath | None = None
    ca_file: paths.FilePath | None = None

    def missing_trust(self) -> list[str]:
        """Return an error if the internal port would need no token."""
        if self.demo or self.token_file is not None:
            return []
        return ['token_file: Field required unless demo is true']

    def credentials(self) -> credentials.Credentials:
        """Read the token file and the CA file.

        Raises
        ------
        InvalidInputError
            If one of the files cannot be used.
        """
        try:
            return credentials.load(
                token_file=self.token_file, ca_file=self.ca_file
            )
        except credentials.CredentialsError as exc:
            raise errors.InvalidInputError(lines=[str(exc)]) from exc
