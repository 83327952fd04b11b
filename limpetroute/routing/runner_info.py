"""What a runner announces of itself."""

import dataclasses
import json

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_incarnation


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunnerInfo:
    """What a runner announces of itself.

    Parameters
    ----------
    runner_id : str
        Identity of the runner; it may start again under the same.
    service : str
        The service it belongs to.
    address : str
        ``IP:PORT``; taken over by others once the runner is gone.
    zone : str
        Its availability zone.
    slots : int
        Requests that it works on at once.
    ready : bool
        Whether it takes new requests.
    stage : Stage or None
        Its part, where it runs a model.
    started_ms : int
        Unix time of its start in milliseconds; 0 if not told. With
        another one it holds and knows nothing of before.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool
    stage: stage_module.Stage | None
    started_ms: int = 0

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
        """Return what the control log keeps beside id and address."""
        body = {
            'service': self.service,
            'zone': self.zone,
            'slots': self.slots,
            'stage': self.stage.value if self.stage else None,
            'started_ms': self.started_ms,
        }
        return json.dumps(body, separators=(',', ':'))


def from_detail(
    *, runner_id: str, address: str, ready: bool, detail: str
) -> RunnerInfo:
    """Return a runner from what `RunnerInfo.detail` gave."""
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
    )
