"""IP addresses, and URLs whose host is an IP address."""

import ipaddress
import typing
import urllib.parse

import pydantic

SCHEMES = ('http', 'https')
MAX_PORT = 65535


def _check_address(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError as exc:
        raise ValueError(
            'allowed is an IP address such as 127.0.0.1 or ::1'
        ) from exc
    return text


def _check_host_port(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        in_range = 0 <= int(port) <= MAX_PORT
    except ValueError as exc:
        raise ValueError('allowed is IP:PORT') from exc
    if not in_range:
        raise ValueError('allowed is IP:PORT')
    return text


def _check_url(text: str) -> str:
    allowed = 'allowed is http://IP:PORT or https://IP:PORT'
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
        ipaddress.ip_address(parts.hostname or '')
    except ValueError as exc:
        raise ValueError(allowed) from exc
    if parts.scheme not in SCHEMES or port is None:
        raise ValueError(allowed)
    if parts.path.strip('/') or parts.query or parts.username:
        raise ValueError(allowed)
    return text.rstrip('/')


IpAddress = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
HostPort = typing.Annotated[str, pydantic.AfterValidator(_check_host_port)]
HostUrl = typing.Annotated[str, pydantic.AfterValidator(_check_url)]
