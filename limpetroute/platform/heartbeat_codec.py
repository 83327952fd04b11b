"""Decodes runners' heartbeats."""

import typing

import pydantic

from limpetroute.control import commands
from limpetroute.control import runner_table
from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_info


class HeartbeatBody(pydantic.BaseModel):
    """A heartbeat as it is sent; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    service: str
    address: str
    zone: str = ''
    slots: int = 1
    state: typing.Literal['ready', 'draining'] = 'ready'
    stage: typing.Literal['prefill', 'decode'] | None = None
    # Counts a runner's calls, so that one that comes late can be told.
    seq: int = 0


def decode(runner_id: str, data: bytes) -> commands.NoteRunner:
    """Return what a heartbeat says.

    Raises
    ------
    ValueError
        If it cannot be read.
    """
    body = HeartbeatBody.model_validate_json(data)
    ready = body.state == 'ready'
    info = runner_info.RunnerInfo(
        runner_id=runner_id,
        service=body.service,
        address=body.address,
        zone=body.zone,
        slots=body.slots,
        ready=ready,
        stage=stage_module.Stage(body.stage) if body.stage else None,
    )
    state = runner_table.RunnerState.READY
    if not ready:
        state = runner_table.RunnerState.DRAINING
    return commands.NoteRunner(
        runner_id=runner_id,
        address=info.address,
        text=info.detail(),
        sequence=body.seq,
        state=state.value,
    )
