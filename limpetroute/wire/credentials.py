"""Tokens and TLS contexts, loaded once at startup."""

import dataclasses
import pathlib
import ssl

MIN_TOKEN_CHARS = 16


class CredentialsError(ValueError):
    """A credentials file cannot be used.

    Parameters
    ----------
    field : str
        Setting that contains the path of the file.
    text : str
        Description of the error, without the content of the file.
    """

    def __init__(self, *, field: str, text: str) -> None:
        super().__init__(f'{field}: {text}')
        self.field = field
        self.text = text


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Credentials:
    """Credentials a process sends and accepts on the internal ports.

    Parameters
    ----------
    tokens : tuple of str
        Accepted tokens; the first is also sent. Empty for the demo.
    client_tls : ssl.SSLContext or None
        Context for calls to ``https`` addresses.
    """

    tokens: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    client_tls: ssl.SSLContext | None = None

    @property
    def token(self) -> str | None:
        """Token to send, or None."""
        return self.tokens[0] if self.tokens else None


def load(
    *, token_file: pathlib.Path | None, ca_file: pathlib.Path | None
) -> Credentials:
    """Load the credentials from their files.

    Raises
    ------
    CredentialsError
        If a file cannot be read or used.
    """
    tokens = _read_tokens(token_file) if token_file else ()
    client_tls = _client_context(ca_file) if ca_file else None
    return Credentials(tokens=tokens, client_tls=client_tls)


def server_context(
    cert_file: pathlib.Path, key_file: pathlib.Path
) -> ssl.SSLContext:
    """Create the TLS context of a listening port.

    Raises
    ------
    CredentialsError
        If the certificate and key cannot be used.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    for field, path in (('cert_file', cert_file), ('key_file', key_file)):
        _require_file(field, path)
    try:
        context.load_cert_chain(cert_file, key_file)
    except (ssl.SSLError, OSError) as exc:
        text = f'not a PEM certificate that fits key_file: {exc}'
        raise CredentialsError(field='cert_file', text=text) from exc
    return context


def _client_context(ca_file: pathlib.Path) -> ssl.SSLContext:
    _require_file('ca_file', ca_file)
    try:
        return ssl.create_default_context(cafile=str(ca_file))
    except (ssl.SSLError, OSError) as exc:
        text = f'not a PEM file of certificates: {exc}'
        raise CredentialsError(field='ca_file', text=text) from exc


def _read_tokens(path: pathlib.Path) -> tuple[str, ...]:
    _require_file('token_file', path)
    try:
        lines = path.read_text('ascii').split()
    except UnicodeDecodeError as exc:
        raise CredentialsError(
            field='token_file', text=f'{path} is not ASCII text'
        ) from exc
    if not lines:
        raise CredentialsError(field='token_file', text=f'{path} is empty')
    for number, line in enumerate(lines, 1):
        if len(line) >= MIN_TOKEN_CHARS:
            continue
        text = f'{path} line {number}: under {MIN_TOKEN_CHARS} characters'
        raise CredentialsError(field='token_file', text=text)
    return tuple(lines)


def _require_file(field: str, path: pathlib.Path) -> None:
    try:
        with path.open('rb'):
            return
    except OSError as exc:
        text = f'{path} cannot be read: {exc.strerror}'
        raise CredentialsError(field=field, text=text) from exc
