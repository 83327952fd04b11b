"""Decides which routing configuration is in force: the highest version."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutesInForce:
    """The routing configuration in force.

    Parameters
    ----------
    version : int
        Version number; only a higher one replaces the document.
    digest : str
        Hash of ``text``.
    text : str
        The document as the operator sent it.
    """

    version: int
    digest: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutesTaken:
    """A submitted routing configuration is acknowledged.

    Parameters
    ----------
    version : int
        The version that was sent.
    newest_version : int
        The version in force afterwards.
    in_force : bool
        Whether the document in force is the submitted one. An older
        version, or different content under the same version, changes
        nothing but is acknowledged too, because the sender may repeat a
        call whose response was lost.
    """

    version: int
    newest_version: int
    in_force: bool


def decide(
    newest: RoutesInForce | None, *, version: int, digest: str, text: str
) -> tuple[RoutesInForce, RoutesTaken]:
    """Return the configuration in force after a submission."""
    if newest is None or version > newest.version:
        newest = RoutesInForce(version=version, digest=digest, text=text)
    same = newest.version == version and newest.digest == digest
    taken = RoutesTaken(
        version=version, newest_version=newest.version, in_force=same
    )
    return newest, taken
