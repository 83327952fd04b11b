"""Plays the rule by which manifests win."""

import typing

from limpetroute.border import manifest
from limpetroute.control import manifest_store
from limpetroute.replay import player


class ManifestPlayer:
    """A manifest store."""

    def __init__(self) -> None:
        self._store = manifest_store.ManifestStore()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(store={self._store!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return what operators can do."""
        return {'submit': self._submit, 'newest': self._newest}

    def _submit(
        self, *, now_s: float, manifest: manifest.ManifestBody
    ) -> manifest_store.Verdict:
        return self._store.submit(manifest)

    def _newest(self, *, now_s: float) -> dict[str, typing.Any] | None:
        newest = self._store.newest
        return newest.model_dump() if newest else None
