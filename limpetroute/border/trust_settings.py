"""Whom the processes of one deployment believe."""

from limpetroute.border import errors
from limpetroute.border import paths
from limpetroute.border import strict_model
from limpetroute.wire import credentials


class TrustSettings(strict_model.StrictModel):
    """Token and authority between processes and for operators.

    The token file has one token a line: the first is sent, each is
    accepted, so that a token is replaced without a stop.
    """

    demo: bool = False
    token_file: paths.FilePath | None = None
    ca_file: paths.FilePath | None = None

    def missing_trust(self) -> list[str]:
        """Say what an open internal port still needs."""
        if self.demo or self.token_file is not None:
            return []
        return ['token_file: Field required unless demo is true']

    def credentials(self) -> credentials.Credentials:
        """Read the files named.

        Raises
        ------
        InvalidInputError
            If one of them cannot be used.
        """
        try:
            return credentials.load(
                token_file=self.token_file, ca_file=self.ca_file
            )
        except credentials.CredentialsError as exc:
            raise errors.InvalidInputError(lines=[str(exc)]) from exc
