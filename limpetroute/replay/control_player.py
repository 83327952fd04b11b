"""Replays commands of the control log on a control state."""

import typing

from limpetroute.border import manifest as manifest_module
from limpetroute.control import commands
from limpetroute.control import control_state
from limpetroute.control import results
from limpetroute.replay import player

MAX_CLAIM_BYTES = 1 << 20


class ControlPlayer:
    """Applies commands to manifests, claims and fencing numbers."""

    def __init__(self) -> None:
        self._state = _empty_state()
        self._index = 0

    def __repr__(self) -> str:
        return f'{type(self).__name__}(state={self._state!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the log's commands, a query and a restart, by name."""
        return {
            'submit': self._submit,
            'newest': self._newest,
            'claim': self._claim,
            'withdraw': self._withdraw,
            'settle': self._settle,
            'forget': self._forget,
            'next_fence': self._next_fence,
            'restore': self._restore,
        }

    def _apply(self, command: commands.Command) -> results.Result:
        self._index += 1
        # Encodes and decodes the command, as the log of a replica does.
        decoded = commands.decode(commands.encode(command))
        return self._state.apply(decoded, self._index)

    def _submit(
        self, *, now_s: float, manifest: manifest_module.ManifestBody
    ) -> results.Result:
        return self._apply(
            commands.SubmitManifest(
                number=manifest.number,
                digest=manifest.digest,
                sender=manifest.sender,
                text=manifest.model_dump_json(),
            )
        )

    def _newest(self, *, now_s: float) -> dict[str, typing.Any] | None:
        newest = self._state.newest
        if newest is None:
            return None
        body = manifest_module.ManifestBody.model_validate_json(newest.text)
        return body.model_dump()

    def _claim(
        self,
        *,
        now_s: float,
        team: str,
        key: str,
        body_digest: str,
        holder: str,
        token: str,
    ) -> results.Result:
        return self._apply(
            commands.MakeClaim(
                team=team,
                key=key,
                body_digest=body_digest,
                holder=holder,
                token=token,
                at_s=now_s,
            )
        )

    def _withdraw(
        self, *, now_s: float, team: str, key: str, token: str
    ) -> results.Result:
        return self._apply(
            commands.WithdrawClaim(team=team, key=key, token=token, at_s=now_s)
        )

    def _settle(
        self, *, now_s: float, team: str, key: str, status: int, body: str
    ) -> results.Result:
        return self._apply(
            commands.SettleClaim(
                team=team, key=key, status=status, body=body, at_s=now_s
            )
        )

    def _forget(
        self,
        *,
        now_s: float,
        settled_before_s: float,
        void_before_s: float,
    ) -> results.Result:
        return self._apply(
            commands.ForgetOld(
                settled_before_s=settled_before_s,
                void_before_s=void_before_s,
            )
        )

    def _next_fence(self, *, now_s: float, name: str) -> results.Result:
        return self._apply(commands.NextFence(name=name))

    def _restore(self, *, now_s: float) -> None:
        """Reload the state from a snapshot, as a restart does."""
        data = self._state.dump()
        self._state = _empty_state()
        self._state.load(data)


def _empty_state() -> control_state.ControlState:
    return control_state.ControlState(max_claim_bytes=MAX_CLAIM_BYTES)
