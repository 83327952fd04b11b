"""Which manifest wins: numbers only go up, and one content a number."""

import dataclasses

from limpetroute.border import manifest as manifest_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The manifest is in the log; ``resent`` if it already was."""

    number: int
    digest: str
    resent: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another manifest has won this number."""

    number: int
    winner_digest: str
    winner_sender: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stale:
    """A higher number is in force."""

    number: int
    newest_number: int


Verdict = Accepted | Conflict | Stale


class ManifestStore:
    """Keeps the newest manifest."""

    __slots__ = ('newest',)

    def __init__(self) -> None:
        self.newest: manifest_module.ManifestBody | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(newest={self.newest!r})'

    def submit(self, body: manifest_module.ManifestBody) -> Verdict:
        """Decide on a manifest and keep it if it wins."""
        newest = self.newest
        if newest is None or body.number > newest.number:
            self.newest = body
            return Accepted(
                number=body.number, digest=body.digest, resent=False
            )
        if body.number < newest.number:
            return Stale(number=body.number, newest_number=newest.number)
        if body.digest == newest.digest:
            return Accepted(
                number=body.number, digest=body.digest, resent=True
            )
        return Conflict(
            number=body.number,
            winner_digest=newest.digest,
            winner_sender=newest.sender,
        )
