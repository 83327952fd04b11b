"""Index of the manifest in force."""

import hashlib
import hmac

from limpetroute.border import manifest as manifest_module


class ManifestIndex:
    """Looks up teams, models and services of a manifest by name.

    The index is built once for each manifest, and each look-up takes
    constant time.

    Parameters
    ----------
    manifest : ManifestBody or None
        The manifest in force; None before the first one.
    """

    __slots__ = ('_models', '_services', '_teams', 'manifest')

    def __init__(
        self, *, manifest: manifest_module.ManifestBody | None
    ) -> None:
        self.manifest = manifest
        self._teams: dict[str, str] = {}
        self._models: dict[str, manifest_module.ModelBody] = {}
        self._services: dict[str, manifest_module.ServiceBody] = {}
        if manifest is None:
            return
        for team in manifest.teams:
            if team.token_sha256 is not None:
                self._teams[team.token_sha256] = team.name
        for model in manifest.models:
            self._models[model.name] = model
            for adapter in model.adapters:
                self._models[f'{model.name}:{adapter}'] = model
        for service in manifest.services:
            self._services[service.name] = service

    def __repr__(self) -> str:
        number = self.manifest.number if self.manifest else None
        return f'{type(self).__name__}(number={number!r})'

    @property
    def has_tokens(self) -> bool:
        """Whether callers have to send a token."""
        return bool(self._teams)

    def team_of(self, token: str) -> str | None:
        """Return the team of a token, or None.

        The time of the look-up reveals nothing about valid tokens: the
        look-up uses the token's hash, and the final comparison takes the
        same time for every token.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        team = self._teams.get(digest)
        expected = digest if team is not None else '0' * len(digest)
        if not hmac.compare_digest(expected, digest):
            return None
        return team

    def has_model(self, name: str) -> bool:
        """Whether the manifest names a model."""
        return name in self._models

    def max_prompt_tokens(self, name: str) -> int | None:
        """Return a model's prompt limit; None without limit or model."""
        model = self._models.get(name)
        return model.max_prompt_tokens if model else None

    def service(self, name: str) -> manifest_module.ServiceBody | None:
        """Return a plain service, or None if the manifest lacks it."""
        return self._services.get(name)
