"""Asks every host the same and gathers the answers."""

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
    """What one host said.

    Parameters
    ----------
    url : str
        The host's internal port.
    status : int
        HTTP status, or 0 if there was no answer.
    body : dict
        The answer, empty if there was none.
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
    """Ask all hosts at once."""
    return asyncio.run(_ask_all(target, method, path))


def target_or_explain(
    args: typing.Mapping[str, typing.Any],
) -> operator_target.OperatorTarget | None:
    """Read the shared options, or print every wrong one."""
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
    """Print each host without an answer; return the exit code so far."""
    code = exit_code.DONE
    for item in answers:
        if not item.error:
            continue
        code = exit_code.UNKNOWN
        print(f'{item.url}: {item.error}', file=sys.stderr)
    return code


async def _ask_all(
    target: operator_target.OperatorTarget, method: str, path: str
) -> list[HostAnswer]:
    calls = [_ask_one(target, url, method, path) for url in target.urls]
    return list(await asyncio.gather(*calls))


async def _ask_one(
    target: operator_target.OperatorTarget, url: str, method: str, path: str
) -> HostAnswer:
    got = await target.http.call(
        method=method, url=f'{url}{path}', timeout_s=TIMEOUT_S
    )
    if isinstance(got, call_failed.CallFailed):
        text = f'no answer ({got.kind}) {got.detail}'.rstrip()
        return HostAnswer(url=url, error=text)
    if got.status == 401:
        return HostAnswer(
            url=url, status=got.status, error='the token is not accepted'
        )
    try:
        body = got.json()
    except ValueError as exc:
        return HostAnswer(url=url, status=got.status, error=str(exc))
    if not isinstance(body, dict) or got.status >= 500:
        text = f'unexpected answer, status {got.status}'
        return HostAnswer(url=url, status=got.status, error=text)
    return HostAnswer(url=url, status=got.status, body=body)
