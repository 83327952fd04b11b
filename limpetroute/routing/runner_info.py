"""Announced properties of a runner."""

import dataclasses
import json

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerInfo:
    """Announced properties of a runner.

    Parameters
    ----------
    runner_id : str
        Identity of the runner, which it keeps when it restarts.
    service : str
        The service that the runner belongs to.
    address : str
        ``IP:PORT``; may be reused by another runner once this one is gone.
    zone : str
        Its availability zone.
    slots : int
        Requests that it processes at once.
    ready : bool
        Whether it accepts new requests.
    stage : Stage or None
        Prefill or decode if it runs a model, otherwise None.
    started_ms : int
        Unix time of its start in milliseconds; 0 if unknown. A runner with
        a new start time has lost its requests and its cached state.
    version : str or None
        Version of its software; None if it was announced through a control
        host of an earlier release.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool
    stage: stage_module.Stage | None
    started_ms: int = 0
    version: str | None = None

    @property
    def incarnation(self) -> runner_incarnation.RunnerIncarnation:
        """The current incarnation of the runner."""
        return runner_incarnation.RunnerIncarnation(
            runner_id=self.runner_id, started_ms=self.started_ms
        )

    @property
    def host(self) -> str:
        """The IP address."""
        return self.address.rpartition(':')[0].strip('[]')

    @property
    def port(self) -> int:
        """The TCP port."""
        return int(self.address.rpartition(':')[2])

    def detail(self) -> str:
        """Return the fields for the control log, as JSON.

        The log stores the id, the address and the state separately.
        """
        body = {
            'service': self.service,
            'zone': self.zone,
            'slots': self.slots,
            'stage': self.stage.value if self.stage else None,
            'started_ms': self.started_ms,
            'version': self.version,
        }
        return json.dumps(body, separators=(',', ':'))


def from_detail(
    *, runner_id: str, address: str, ready: bool, detail: str
) -> RunnerInfo:
    """Return a runner from the JSON text of `RunnerInfo.detail`."""
    body = json.loads(detail)
    stage = body['stage']
    return RunnerInfo(
        runner_id=runner_id,
        address=address,
        ready=ready,
        service=body['service'],
        zone=body['zone'],
        slots=body['slots'],
        stage=stage_module.Stage(stage) if stage else None,
        started_ms=body.get('started_ms', 0),
        version=body.get('version'),
    )
