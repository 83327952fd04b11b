"""Commits calls of operators and runners from any control host."""

import asyncio
import dataclasses
import logging
import typing

from limpetroute.control import commands
from limpetroute.control import node as node_module
from limpetroute.control import results
from limpetroute.control import routes_store
from limpetroute.control import verdicts
from limpetroute.routing import config_fragments
from limpetroute.wire import call_failed
from limpetroute.wire import caller

LOG = logging.getLogger(__name__)

# Operators try another host after one second. The leader replies within
# milliseconds, so this leaves time for one election.
COMMIT_TIMEOUT_S = 0.9
# Lower bound for links between control hosts, even for poor ones.
SLOWEST_LINK_BYTES_PER_S = 4_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unconfirmed:
    """The result could not be confirmed; the caller may try again."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnknownService:
    """The announced service is not in the configuration in force."""

    service: str


class CommandSubmitter:
    """Commits calls of operators and runners from any control host.

    Commands go to the leader if this host is not the leader itself.

    Parameters
    ----------
    node : Node
        This control host.
    http : Caller
        Calls the leader.
    parse_services : callable
        Returns the names of the services in a routing configuration.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        http: caller.Caller,
        parse_services: typing.Callable[
            [typing.Sequence[config_fragments.ConfigFragment]], frozenset[str]
        ],
    ) -> None:
        self._node = node
        self._http = http
        self._parse_services = parse_services
        self._services: frozenset[str] = frozenset()
        self._services_index = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(node={self._node!r})'

    async def submit_routes(
        self, *, version: int, digest: str, text: str
    ) -> routes_store.RoutesTaken | Unconfirmed:
        """Commit a routing configuration."""
        if not self._node.is_complete():
            return Unconfirmed(reason='the group is not complete yet')
        command = commands.SubmitRoutes(
            version=version, digest=digest, text=text
        )
        got = await self._commit(command)
        if isinstance(got, Unconfirmed):
            outcome = got.reason
        else:
            outcome = 'in force' if got.get('in_force') else 'not newer'
        LOG.info(
            'routes submitted',
            extra={
                'version': version,
                'digest': digest,
                'bytes': len(text),
                'outcome': outcome,
            },
        )
        if isinstance(got, Unconfirmed):
            return got
        return routes_store.RoutesTaken(
            version=version,
            newest_version=int(got['newest_version']),
            in_force=bool(got['in_force']),
        )

    async def newest_routes(
        self,
    ) -> routes_store.RoutesInForce | Unconfirmed:
        """Return the routing configuration in force, if it is confirmed."""
        node = self._node
        group = node.config
        if group.replica.can_read(node.now_s):
            if group.state.routes is None:
                return Unconfirmed(reason='no configuration yet')
            return group.state.routes
        leader_url = node.url_of(group.leader_host)
        if not leader_url or group.leader_host == node.settings.host_id:
            return Unconfirmed(reason='no leader is known')
        got = await self._http.call(
            method='GET',
            url=f'{leader_url}/v1/routes/newest',
            timeout_s=COMMIT_TIMEOUT_S,
        )
        if isinstance(got, call_failed.CallFailed) or not got.ok:
            return Unconfirmed(reason='the leader cannot be asked')
        body = got.json()
        if not body['digest']:
            return Unconfirmed(reason='no configuration yet')
        return await self._await_local_routes(body['version'], body['digest'])

    async def _await_local_routes(
        self, version: int, digest: str
    ) -> routes_store.RoutesInForce | Unconfirmed:
        """Wait until a version is applied here and return it.

        The leader replies with the version and digest only. A reply with
        the document would grow with the number of routes until it takes
        longer than an operator waits. This host has the document in its own
        log, or will receive it shortly.
        """
        group = self._node.config
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                while True:
                    changed = group.changed
                    routes = group.state.routes
                    if routes is not None and routes.version >= version:
                        break
                    await changed.wait()
        except TimeoutError:
            return Unconfirmed(reason='this host has not caught up')
        if routes.version == version and routes.digest != digest:
            LOG.error(
                'routes differ from the leader',
                extra={'version': version, 'digest': routes.digest},
            )
            return Unconfirmed(reason='this host holds another document')
        return routes

    async def note_runner(
        self, command: commands.NoteRunner, service: str
    ) -> results.Done | Unconfirmed | UnknownService:
        """Commit a runner's announcement.

        An announcement for a service that is not in the configuration in
        force is refused, because it would remove the runner that is
        registered at the same address. Before the first configuration all
        services are accepted, so that runners need not wait for it.

        An announcement that changes nothing is acknowledged without a
        commit, but only while this host is in contact with the leader.
        Otherwise an isolated host would acknowledge announcements that no
        other host receives.
        """
        node = self._node
        group = node.config
        if not group.replica.has_active_leader(node.now_s):
            return Unconfirmed(reason='out of touch with the group')
        services = await self._services_in_force()
        if services and service not in services:
            LOG.warning(
                'an announcement names an unknown service',
                extra={'runner': command.runner_id, 'service': service},
            )
            return UnknownService(service=service)
        if not group.state.runners.is_update(command):
            # The routes may have been split meanwhile, which takes a while.
            if not group.replica.has_active_leader(node.now_s):
                return Unconfirmed(reason='out of touch with the group')
            return results.Done()
        got = await self._commit(command)
        LOG.info(
            'runner announced',
            extra={
                'runner': command.runner_id,
                'address': command.address,
                'state': command.state,
                'sequence': command.sequence,
                'started_ms': command.started_ms,
                'outcome': _outcome(got),
            },
        )
        return got if isinstance(got, Unconfirmed) else results.Done()

    async def forget_runner(
        self, command: commands.ForgetRunner
    ) -> results.Done | Unconfirmed:
        """Commit a runner's departure."""
        runners = self._node.config.state.runners
        if not runners.is_valid_departure(
            command.runner_id, command.started_ms
        ):
            return results.Done()
        got = await self._commit(command)
        LOG.info(
            'runner left',
            extra={
                'runner': command.runner_id,
                'started_ms': command.started_ms,
                'outcome': _outcome(got),
            },
        )
        return got if isinstance(got, Unconfirmed) else results.Done()

    async def _services_in_force(self) -> frozenset[str]:
        """Return the services of the configuration in force."""
        state = self._node.config.state
        await self._node.routes_splitter.split(state)
        copy = state.routes_copy()
        if copy is None:
            return frozenset()
        if state.routes_index != self._services_index:
            self._services = self._parse_services(copy.parts)
            self._services_index = state.routes_index
        return self._services

    async def _commit(
        self, command: commands.Command
    ) -> dict[str, typing.Any] | Unconfirmed:
        """Commit here or through the leader; return the result's fields."""
        node = self._node
        verdict = await node.config.commit(command, COMMIT_TIMEOUT_S)
        if isinstance(verdict, verdicts.Committed):
            return dataclasses.asdict(verdict.result)
        if isinstance(verdict, verdicts.Unknown):
            return Unconfirmed(reason=verdict.reason)
        leader_url = node.url_of(verdict.leader_host)
        if not leader_url or verdict.leader_host == node.settings.host_id:
            return Unconfirmed(reason=verdict.reason)
        data = commands.encode(command)
        # The timeout grows with the size of the command. With a fixed one, a
        # large command would time out before it has reached the leader, each
        # time that the operator sends it again.
        sending_s = len(data) / SLOWEST_LINK_BYTES_PER_S
        got = await self._http.call(
            method='POST',
            url=f'{leader_url}/v1/commands',
            body=data,
            timeout_s=COMMIT_TIMEOUT_S + sending_s,
        )
        if isinstance(got, call_failed.CallFailed):
            return Unconfirmed(reason=f'the leader: {got.kind.value}')
        if not got.ok:
            return Unconfirmed(reason=f'the leader refused with {got.status}')
        body: dict[str, typing.Any] = got.json()
        return body


def _outcome(got: dict[str, typing.Any] | Unconfirmed) -> str:
    return got.reason if isinstance(got, Unconfirmed) else 'committed'
