"""Decodes the heartbeats and farewells of runners."""

import dataclasses
import typing

import pydantic

from limpetroute.border import addresses
from limpetroute.control import commands
from limpetroute.control import runner_table
from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_info


class _Body(pydantic.BaseModel):
    """Rejects values of a wrong type and ignores unknown fields."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        strict=True,
        alias_generator=lambda name: name.replace('_', '-'),
    )

    # Unix time of the runner's start in milliseconds. The specification
    # requires this field, but some runners omit it, so only a value of a
    # wrong type makes the message invalid.
    born: int = pydantic.Field(default=0, ge=0)


class HeartbeatBody(_Body):
    """Body of a heartbeat.

    Every field that all runners send is required, including unused ones.
    A message without one of them does not come from a runner. Accepting
    it could route requests to an address without a runner, or displace
    the runner that uses the address.
    """

    service: str = pydantic.Field(min_length=1)
    address: addresses.HostPort
    zone: str
    # Version of the runner's software, not of the model's weights.
    version: str
    slots: int = pydantic.Field(ge=1)
    state: typing.Literal['ready', 'draining']
    # Remaining time for which the runner is slow after its start.
    cold_left_ms: float
    stage: typing.Literal['prefill', 'decode'] | None = None
    # Counts the runner's calls, to detect one that arrives out of order.
    seq: int = pydantic.Field(ge=0)


class FarewellBody(_Body):
    """Body of a farewell; usually absent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """A decoded heartbeat and the service that it names."""

    command: commands.NoteRunner
    service: str


def decode(runner_id: str, data: bytes) -> Announced:
    """Decode a heartbeat.

    Raises
    ------
    ValueError
        If the message is invalid.
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
        version=body.version,
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
    """Decode the message that a runner sends when it leaves.

    Raises
    ------
    ValueError
        If the message is invalid.
    """
    if not data:
        return commands.ForgetRunner(runner_id=runner_id)
    body = FarewellBody.model_validate_json(data)
    return commands.ForgetRunner(runner_id=runner_id, started_ms=body.born)
