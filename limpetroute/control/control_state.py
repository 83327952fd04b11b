"""The replicated state of the control log."""

import dataclasses
import json
import typing

from limpetroute.control import claim_table
from limpetroute.control import commands
from limpetroute.control import manifest_store
from limpetroute.control import recent_routes
from limpetroute.control import results
from limpetroute.control import routes_store
from limpetroute.control import runner_table
from limpetroute.routing import quarantine
from limpetroute.routing import routes_copy
from limpetroute.routing import runner_incarnation

MAX_FENCES = 100_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Newest:
    """The manifest in force; ``text`` is its JSON document."""

    number: int
    digest: str
    sender: str
    text: str


class ControlState:
    """The replicated state of the control log.

    Deterministic: the same commands give the same state on every replica.
    No clock is read, because times are part of the commands.

    Parameters
    ----------
    max_claim_bytes : int
        Maximum memory of all claims.
    """

    __slots__ = (
        'claims',
        'fences',
        'newest',
        'quarantine',
        'quarantine_index',
        'recent_routes',
        'routes',
        'routes_index',
        'runners',
    )

    def __init__(self, *, max_claim_bytes: int) -> None:
        self.newest: Newest | None = None
        self.fences: dict[str, int] = {}
        self.routes: routes_store.RoutesInForce | None = None
        self.routes_index = 0
        self.recent_routes = recent_routes.RecentRoutes()
        self.runners = runner_table.RunnerTable()
        self.claims = claim_table.ClaimTable(max_bytes=max_claim_bytes)
        self.quarantine = quarantine.Quarantine()
        # Log index of the last change to the quarantined requests.
        self.quarantine_index = 0

    def __repr__(self) -> str:
        number = self.newest.number if self.newest else 0
        return (
            f'{type(self).__name__}(manifest={number!r}, '
            f'claims={len(self.claims)!r})'
        )

    def apply(self, command: commands.Command, index: int) -> results.Result:
        """Apply one committed command.

        Parameters
        ----------
        command : Command
            The command.
        index : int
            Its index in the log, which becomes a claim's fencing number.
        """
        match command:
            case commands.SubmitManifest():
                return self._submit(command)
            case commands.SubmitRoutes():
                return self._submit_routes(command, index)
            case commands.NoteRunner():
                self.runners.note(command, index)
                return results.Done()
            case commands.ForgetRunner():
                self.runners.forget(
                    command.runner_id, index, started_ms=command.started_ms
                )
                return results.Done()
            case commands.NoteCrashes():
                return self._note_crashes(command, index)
            case commands.ClearRequest():
                return self._clear_request(command, index)
            case commands.TakeTrial():
                trial = self.quarantine.take_trial(
                    command.fingerprint, command.taken
                )
                return results.TrialDecided(trial=trial.value)
            case commands.NextFence():
                return self._next_fence(command.name)
            case commands.MakeClaim():
                return self.claims.make(command, index)
            case commands.WithdrawClaim():
                return self.claims.withdraw(command)
            case commands.SettleClaim():
                return self.claims.settle(command)
            case commands.ForgetOld():
                return self.claims.forget(command)

    def routes_copy(self) -> routes_copy.RoutesCopy | None:
        """Return the routing configuration in force, split into fragments."""
        if self.routes is None:
            return None
        return self.recent_routes.get(self.routes.digest)

    def dump(self) -> bytes:
        """Return the whole state as JSON."""
        newest = self.newest
        routes = self.routes
        body = {
            'newest': dataclasses.astuple(newest) if newest else None,
            'fences': self.fences,
            'claims': self.claims.dump(),
            'routes': dataclasses.astuple(routes) if routes else None,
            'routes_index': self.routes_index,
            'runners': self.runners.dump(),
            'quarantine': self.quarantine.dump(),
            'quarantine_index': self.quarantine_index,
        }
        return json.dumps(body, separators=(',', ':')).encode()

    def load(self, data: bytes) -> None:
        """Load the result of `dump` into an empty state."""
        if not data:
            return
        body: dict[str, typing.Any] = json.loads(data)
        if body['newest']:
            number, digest, sender, text = body['newest']
            self.newest = Newest(
                number=number, digest=digest, sender=sender, text=text
            )
        self.fences = body['fences']
        self.claims.load(body['claims'])
        if body.get('routes'):
            version, digest, text = body['routes']
            self.routes = routes_store.RoutesInForce(
                version=version, digest=digest, text=text
            )
            self.recent_routes.note(self.routes)
        self.routes_index = body.get('routes_index', 0)
        self.runners.load(body.get('runners', []))
        if 'quarantine' in body:
            self.quarantine.load(body['quarantine'])
            self.quarantine_index = body['quarantine_index']

    def _note_crashes(
        self, command: commands.NoteCrashes, index: int
    ) -> results.Result:
        before = self.quarantine.requests
        for runner_id, started_ms, suspects in command.crashes:
            self.quarantine.note_crash(
                runner_incarnation.RunnerIncarnation(
                    runner_id=runner_id, started_ms=started_ms
                ),
                [
                    quarantine.Suspect(
                        fingerprint=fingerprint, answer_begun=begun
                    )
                    for fingerprint, begun in suspects.items()
                ],
            )
        if self.quarantine.requests != before:
            self.quarantine_index = index
        return results.Done()

    def _clear_request(
        self, command: commands.ClearRequest, index: int
    ) -> results.Result:
        before = self.quarantine.requests
        self.quarantine.clear(command.fingerprint)
        if self.quarantine.requests != before:
            self.quarantine_index = index
        return results.Done()

    def _submit_routes(
        self, command: commands.SubmitRoutes, index: int
    ) -> results.Result:
        in_force, taken = routes_store.decide(
            self.routes,
            version=command.version,
            digest=command.digest,
            text=command.text,
        )
        if in_force is not self.routes:
            self.routes = in_force
            self.routes_index = index
            self.recent_routes.note(in_force)
        return taken

    def _submit(self, command: commands.SubmitManifest) -> results.Result:
        newest = self.newest
        in_force = None
        if newest is not None:
            in_force = manifest_store.InForce(
                number=newest.number,
                digest=newest.digest,
                sender=newest.sender,
            )
        verdict = manifest_store.decide(
            in_force, number=command.number, digest=command.digest
        )
        if isinstance(verdict, manifest_store.Accepted) and not verdict.resent:
            self.newest = Newest(
                number=command.number,
                digest=command.digest,
                sender=command.sender,
                text=command.text,
            )
        return verdict

    def _next_fence(self, name: str) -> results.Result:
        if name not in self.fences and len(self.fences) >= MAX_FENCES:
            return results.Full(reason='no room for fencing numbers')
        fence = self.fences.get(name, 0) + 1
        self.fences[name] = fence
        return results.FenceGiven(name=name, fence=fence)
