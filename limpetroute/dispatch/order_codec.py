"""Encoding of orders to runners."""

import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import config_fragments
from limpetroute.routing import service
from limpetroute.routing import team_index
from limpetroute.wire import small_call


class OrderCodec(typing.Protocol):
    """Encodes orders to runners and parses routing configurations."""

    def parse_services(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> tuple[service.Service, ...]:
        """Decode the services of a routing configuration."""

    def parse_teams(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> team_index.TeamIndex:
        """Decode the teams of a routing configuration."""

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
        """Return the call that asks whether a runner is changing stage."""

    def parse_busy(self, body: bytes) -> bool:
        """Parse the reply to `busy_request`.

        Raises
        ------
        ValueError
            If the body is not such a reply.
        """
