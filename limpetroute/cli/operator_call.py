"""Sends the same request to every host and gathers the answers."""

import asyncio
import dataclasses
import sys
import typing

import pydantic

from limpetroute.border import errors
from limpetroute.cli import exit_code
from limpetroute.cli import operator_target
from limpetroute.wire import call_failed

TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostAnswer:
    """The answer of one host, or the reason why there is none.

    Parameters
    ----------
    url : str
        URL of the host.
    status : int
        HTTP status, or 0 if there was no answer.
    body : dict
        JSON object of the answer, empty if there is no usable answer.
    error : str
        Why there is no usable answer, or empty.
    """

    url: str
    status: int = 0
    body: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    error: str = ''


def ask(
    target: operator_target.OperatorTarget, method: str, path: str
) -> list[HostAnswer]:
    """Send a request to all entry hosts concurrently."""
    return asyncio.run(_ask_all(target, target.urls, method, path))


def ask_control(
    target: operator_target.OperatorTarget, path: str
) -> list[HostAnswer]:
    """Send a GET request to all control hosts concurrently."""
    return asyncio.run(_ask_all(target, target.control_urls, 'GET', path))


def target_or_explain(
    args: typing.Mapping[str, typing.Any],
) -> operator_target.OperatorTarget | None:
    """Read the shared options, or print the errors and return None."""
    try:
        return operator_target.from_args(args)
    except errors.InvalidInputError as exc:
        lines = list(exc.lines)
    except pydantic.ValidationError as exc:
        lines = errors.describe(exc)
    for line in lines:
        print(line, file=sys.stderr)
    return None


def explain_failures(answers: typing.Sequence[HostAnswer]) -> int:
    """Print each host's error and return the resulting exit code."""
    code = exit_code.DONE
    for answer in answers:
        if not answer.error:
            continue
        code = exit_code.UNKNOWN
        print(f'{answer.url}: {answer.error}', file=sys.stderr)
    return code


async def _ask_all(
    target: operator_target.OperatorTarget,
    urls: typing.Sequence[str],
    method: str,
    path: str,
) -> list[HostAnswer]:
    calls = [_ask_one(target, url, method, path) for url in urls]
    return list(await asyncio.gather(*calls))


async def _ask_one(
    target: operator_target.OperatorTarget, url: str, method: str, path: str
) -> HostAnswer:
    response = await target.http.call(
        method=method, url=f'{url}{path}', timeout_s=TIMEOUT_S
    )
    if isinstance(response, call_failed.CallFailed):
        text = f'no answer ({response.kind}) {response.detail}'.rstrip()
        return HostAnswer(url=url, error=text)
    if response.status == 401:
        return HostAnswer(
            url=url, status=response.status, error='the token is not accepted'
        )
    try:
        body = response.json()
    except ValueError as exc:
        return HostAnswer(url=url, status=response.status, error=str(exc))
    if not isinstance(body, dict) or response.status >= 500:
        text = f'unexpected answer, status {response.status}'
        return HostAnswer(url=url, status=response.status, error=text)
    return HostAnswer(url=url, status=response.status, body=body)
