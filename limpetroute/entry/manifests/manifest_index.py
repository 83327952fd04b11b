"""What the entry process looks up in the manifest in force."""

import hashlib
import hmac

from limpetroute.border import manifest as manifest_module


class ManifestIndex:
    """Answers each look-up in constant time, built once a manifest.

    Parameters
    ----------
    manifest : ManifestBody or None
        The manifest in force, or None before the first.
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
        """Whether callers have to bring a token."""
        return bool(self._teams)

    def team_of(self, token: str) -> str | None:
        """Return the team of a token, or None.

        The look-up goes by the token's hash, so its time says nothing
        of the token; the last comparison takes the same time whatever
        it finds.
        """
        given = hashlib.sha256(token.encode()).hexdigest()
        team = self._teams.get(given)
        known = given if team is not None else '0' * len(given)
        if not hmac.compare_digest(known, given):
            return None
        return team

    def has_model(self, name: str) -> bool:
        """Whether the manifest names a model."""
        return name in self._models

    def max_prompt_tokens(self, name: str) -> int | None:
        """Return a model's limit, or None if the model is not named."""
        model = self._models.get(name)
        return model.max_prompt_tokens if model else None

    def service(self, name: str) -> manifest_module.ServiceBody | None:
        """Return a plain service, or None if it is not named."""
        return self._services.get(name)
