"""How orders to runners are written."""

import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import config_fragments
from limpetroute.routing import service
from limpetroute.wire import small_call


class OrderCodec(typing.Protocol):
    """How orders to runners are written, and configurations read."""

    def parse_services(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> tuple[service.Service, ...]:
        """Decode the services of a routing configuration."""

    def stage_order(
        self,
        stage: stage_module.Stage,
        *,
        runner_id: str,
        holder: str,
        fence: int,
    ) -> small_call.SmallCall:
        """Return the call that orders a runner to a stage."""

    def busy_request(self, runner_id: str) -> small_call.SmallCall:
        """Return the call that asks whether a runner carries one out."""

    def parse_busy(self, body: bytes) -> bool:
        """Return what it answers; `ValueError` if that cannot be read."""
