"""The hosts that an operator command calls, and its credentials."""

import dataclasses
import pathlib
import typing

from limpetroute.border import addresses
from limpetroute.border import entry_settings
from limpetroute.border import errors
from limpetroute.border import listen_settings
from limpetroute.border import settings_file
from limpetroute.border import strict_model
from limpetroute.wire import caller
from limpetroute.wire import credentials

DEFAULT_URL = 'http://127.0.0.1:8081'


class _Urls(strict_model.StrictModel):
    host: list[addresses.HostUrl]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OperatorTarget:
    """The hosts to call and the HTTP client for the calls.

    Parameters
    ----------
    urls : tuple of str
        URLs of the entry hosts' internal ports.
    control_urls : tuple of str
        URLs of control hosts; empty if the settings name none.
    http : Caller
        HTTP client with the token and the certificate authority.
    """

    urls: tuple[str, ...]
    control_urls: tuple[str, ...]
    http: caller.Caller


def from_args(args: typing.Mapping[str, typing.Any]) -> OperatorTarget:
    """Read the options that all operator commands share.

    Raises
    ------
    InvalidInputError
        If the settings, the token file or the authority file is wrong.
    pydantic.ValidationError
        If a URL is wrong.
    """
    if args['--settings'] is not None:
        return _from_settings(pathlib.Path(args['--settings']))
    urls = _Urls.model_validate({'host': args['--host'] or [DEFAULT_URL]})
    token_file = args['--token-file']
    ca_file = args['--ca-file']
    try:
        host_credentials = credentials.load(
            token_file=pathlib.Path(token_file) if token_file else None,
            ca_file=pathlib.Path(ca_file) if ca_file else None,
        )
    except credentials.CredentialsError as exc:
        raise errors.InvalidInputError(lines=[str(exc)]) from exc
    return _target(urls.host, host_credentials)


def _from_settings(path: pathlib.Path) -> OperatorTarget:
    settings = settings_file.load(entry_settings.EntrySettings, path)
    own = _url_of(settings.internal_listen)
    return _target(
        [own, *settings.peer_urls],
        settings.credentials(),
        settings.control_urls,
    )


def _target(
    urls: typing.Sequence[str],
    host_credentials: credentials.Credentials,
    control_urls: typing.Sequence[str] = (),
) -> OperatorTarget:
    return OperatorTarget(
        urls=tuple(urls),
        control_urls=tuple(control_urls),
        http=caller.Caller(
            tls=host_credentials.client_tls, token=host_credentials.token
        ),
    )


def _url_of(listen: listen_settings.ListenSettings) -> str:
    scheme = 'https' if listen.tls else 'http'
    address = listen.address
    if ':' in address:
        address = f'[{address}]'
    return f'{scheme}://{address}:{listen.port}'
