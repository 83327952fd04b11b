"""Converts a manifest to the configuration of the scheduling policy."""

from limpetroute.border import manifest as manifest_module
from limpetroute.decisions import policy_config


def policy_config_of(
    manifest: manifest_module.ManifestBody,
) -> policy_config.PolicyConfig:
    """Return the objective and the teams' shares of a manifest."""
    return policy_config.PolicyConfig(
        objective=policy_config.Objective(manifest.objective),
        team_shares={team.name: team.share for team in manifest.teams},
    )
