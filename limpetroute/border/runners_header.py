"""The runners of a placement, in a header of the leader's response.

It is not in the body because entry hosts of earlier releases reject a body
with unknown fields, and would then place the stream locally.
"""

import json
import typing

import pydantic

from limpetroute.routing import runner_info

NAME = 'Limpetroute-Runners'


class _RunnerBody(pydantic.BaseModel):
    """A runner; fields that later releases add are ignored."""

    runner_id: str
    address: str
    detail: str


_BODIES = pydantic.TypeAdapter(list[_RunnerBody])


def encode(runners: typing.Iterable[runner_info.RunnerInfo]) -> str:
    """Return the text of the header."""
    bodies = [
        _RunnerBody(
            runner_id=runner.runner_id,
            address=runner.address,
            detail=runner.detail(),
        ).model_dump()
        for runner in runners
    ]
    return json.dumps(bodies, separators=(',', ':'))


def decode(text: str | None) -> tuple[runner_info.RunnerInfo, ...]:
    """Return the runners in a header; none without a header.

    Raises
    ------
    ValueError
        If the header contains no valid runners.
    """
    if text is None:
        return ()
    try:
        return tuple(
            runner_info.from_detail(
                runner_id=body.runner_id,
                address=body.address,
                ready=True,
                detail=body.detail,
            )
            for body in _BODIES.validate_json(text)
        )
    except (KeyError, TypeError) as exc:
        raise ValueError(f'no valid runners: {exc}') from exc
