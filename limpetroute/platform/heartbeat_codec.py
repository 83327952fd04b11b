"""Decodes what runners say of themselves."""

import dataclasses
import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.control import commands
from limpetroute.control import runner_table
from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_info


class _Body(pydantic.BaseModel):
    """Takes no value of another type; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        strict=True,
        alias_generator=lambda name: name.replace('_', '-'),
    )

    # Unix time of the runner's start in milliseconds. The page has it
    # always there; runners were seen that leave it out, so only another
    # type makes a message unreadable.
    born: int = pydantic.Field(default=0, ge=0)


class HeartbeatBody(_Body):
    """A heartbeat as it is sent.

    All fields that every runner sends are asked for, also those that
    nothing here uses: a message without them is another writer's, and
    taken it would put requests where no runner is, or drive the runner
    out whose address it names.
    """

    service: str = pydantic.Field(min_length=1)
    address: addresses.HostPort
    zone: str
    # Of the runner's software, not of the model's weights.
    version: str
    slots: int = pydantic.Field(ge=1)
    state: typing.Literal['ready', 'draining']
    # How much longer the runner is slow after its start.
    cold_left_ms: float
    stage: typing.Literal['prefill', 'decode'] | None = None
    # Counts a runner's calls, so that one that comes late can be told.
    seq: int = pydantic.Field(ge=0)


class FarewellBody(_Body):
    """What a runner says when it leaves; mostly nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """A runner's announcement, and the service that it names."""

    command: commands.NoteRunner
    service: str


def decode(runner_id: str, data: bytes) -> Announced:
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
        started_ms=body.born,
    )
    state = runner_table.RunnerState.READY
    if not ready:
        state = runner_table.RunnerState.DRAINING
    command = commands.NoteRunner(
        runner_id=runner_id,
        address=info.address,
        text=info.detail(),
        sequence=body.seq,
        state=state.value,
        started_ms=body.born,
    )
    return Announced(command=command, service=body.service)


def decode_farewell(runner_id: str, data: bytes) -> commands.ForgetRunner:
    """Return what a runner says when it leaves.

    Raises
    ------
    ValueError
        If it cannot be read.
    """
    if not data:
        return commands.ForgetRunner(runner_id=runner_id)
    body = FarewellBody.model_validate_json(data)
    return commands.ForgetRunner(runner_id=runner_id, started_ms=body.born)
