"""Builds the platform's control calls to runners."""

import json
import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.platform import header_names
from limpetroute.platform import routes_reader
from limpetroute.platform import teams_reader
from limpetroute.routing import config_fragments
from limpetroute.routing import service
from limpetroute.routing import team_index
from limpetroute.wire import small_call


class Orders:
    """Builds the platform's control calls to runners."""

    def __init__(self) -> None:
        self._teams = teams_reader.TeamsReader()

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def parse_services(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> tuple[service.Service, ...]:
        """Decode the services of a routing configuration."""
        return routes_reader.read_services(parts)

    def parse_teams(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> team_index.TeamIndex:
        """Decode the teams of a routing configuration."""
        return self._teams.read(parts, routes_reader.unsplit_teams(parts))

    def stage_order(
        self,
        stage: stage_module.Stage,
        *,
        runner_id: str,
        holder: str,
        fence: int,
    ) -> small_call.SmallCall:
        """Return the call that switches a runner to a stage."""
        body = {
            'op': 'stage',
            'stage': stage.value,
            'holder': holder,
            'fence': fence,
        }
        return small_call.SmallCall(
            method='POST',
            path='/api/order',
            body=json.dumps(body).encode(),
            headers={header_names.EXPECT_INSTANCE: runner_id},
        )

    def busy_request(self, runner_id: str) -> small_call.SmallCall:
        """Return the call that queries whether an order is in progress."""
        return small_call.SmallCall(
            method='GET',
            path='/api/report',
            headers={header_names.EXPECT_INSTANCE: runner_id},
        )

    def parse_busy(self, body: bytes) -> bool:
        """Return whether the runner is still carrying out an order.

        The field is ``busy``, which does not describe the runner's load.

        Raises
        ------
        ValueError
            If the body is not a valid report.
        """
        try:
            busy = json.loads(body)['busy']
        except (KeyError, TypeError) as exc:
            raise ValueError(f'no report: {body[:80]!r}') from exc
        if not isinstance(busy, bool):
            raise ValueError(f'no report: {body[:80]!r}')
        return busy
