"""Decides which manifest is in force.

Numbers only increase, and each number has only one content.
"""

import dataclasses

from limpetroute.border import manifest as manifest_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The manifest is in the log; ``resent`` if it was there before."""

    number: int
    digest: str
    resent: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another manifest with this number is in force."""

    number: int
    winner_digest: str
    winner_sender: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stale:
    """A higher number is in force."""

    number: int
    newest_number: int


Verdict = Accepted | Conflict | Stale


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Number, digest and sender of the manifest in force."""

    number: int
    digest: str
    sender: str


def decide(newest: InForce | None, *, number: int, digest: str) -> Verdict:
    """Return whether a manifest replaces the one in force."""
    if newest is None or number > newest.number:
        return Accepted(number=number, digest=digest, resent=False)
    if number < newest.number:
        return Stale(number=number, newest_number=newest.number)
    if digest == newest.digest:
        return Accepted(number=number, digest=digest, resent=True)
    return Conflict(
        number=number,
        winner_digest=newest.digest,
        winner_sender=newest.sender,
    )


class ManifestStore:
    """Stores the newest manifest."""

    __slots__ = ('newest',)

    def __init__(self) -> None:
        self.newest: manifest_module.ManifestBody | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(newest={self.newest!r})'

    def submit(self, body: manifest_module.ManifestBody) -> Verdict:
        """Store a manifest if it is newer than the one in force."""
        newest = self.newest
        in_force = None
        if newest is not None:
            in_force = InForce(
                number=newest.number,
                digest=newest.digest,
                sender=newest.sender,
            )
        verdict = decide(in_force, number=body.number, digest=body.digest)
        if isinstance(verdict, Accepted) and not verdict.resent:
            self.newest = body
        return verdict
