"""Decodes the teams of routing configurations incrementally."""

import typing

from limpetroute.platform import routes_body
from limpetroute.platform import routes_codec
from limpetroute.platform import validated_part
from limpetroute.routing import config_fragments
from limpetroute.routing import team as team_module
from limpetroute.routing import team_index


class TeamsReader:
    """Decodes the teams of routing configurations incrementally.

    Only teams that changed since the last version are decoded. Decoding
    thousands of teams whenever one key changes would delay callers.
    """

    def __init__(self) -> None:
        # By the fragment's text: strings keep their hash, so comparing
        # thousands of them with the last version takes a millisecond.
        self._decoded: dict[str, team_module.Team] = {}
        self._indexed: set[str] = set()
        self._index = team_index.TeamIndex(teams=())

    def __repr__(self) -> str:
        return f'{type(self).__name__}(teams={len(self._indexed)!r})'

    def prepare(self, part: config_fragments.ConfigFragment) -> None:
        """Decode a team ahead, to make a later `read` short."""
        if part.text not in self._decoded:
            self._decoded[part.text] = _team(part)

    def read(
        self,
        parts: typing.Iterable[config_fragments.ConfigFragment],
        others: typing.Iterable[routes_body.TenantBody] = (),
    ) -> team_index.TeamIndex:
        """Return the teams of a configuration.

        Parameters
        ----------
        parts : iterable of ConfigFragment
            All fragments of the configuration.
        others : iterable of TenantBody
            Teams that are not fragments of their own, because the
            document was not split.
        """
        found = [
            part for part in parts if part.array == routes_codec.TEAMS_FIELD
        ]
        current = {part.text for part in found}
        added = current - self._indexed
        removed = self._indexed - current
        if added:
            for part in found:
                if part.text in added:
                    self.prepare(part)
        if added or removed:
            self._index = self._index.replaced(
                removed=[self._decoded[text] for text in removed],
                added=[self._decoded[text] for text in added],
            )
            self._indexed = current
        # Drops the teams of versions that never came into force.
        if len(self._decoded) > len(current):
            for text in self._decoded.keys() - current:
                del self._decoded[text]
        apart = [routes_codec.team(body) for body in others]
        if not apart:
            return self._index
        return self._index.replaced(removed=(), added=apart)


def _team(part: config_fragments.ConfigFragment) -> team_module.Team:
    return routes_codec.team(
        validated_part.validated(routes_body.TenantBody, part.element)
    )
