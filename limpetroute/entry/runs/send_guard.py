"""Tracks whether a request may have run on any runner."""

import dataclasses


class SendGuard:
    """Counts the sends of one request and how many did not run."""

    __slots__ = ('_refused', '_sent')

    def __init__(self) -> None:
        self._sent = 0
        self._refused = 0

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}'
            f'(sent={self._sent!r}, refused={self._refused!r})'
        )

    def mark_sending(self) -> None:
        """Count a send; must be called before the first byte is sent."""
        self._sent += 1

    def mark_refused(self) -> None:
        """Count that the newest send certainly did not run."""
        self._refused += 1

    @property
    def may_have_run(self) -> bool:
        """Whether any send is not known to have been refused."""
        return self._sent != self._refused

    def not_run_proof(self) -> 'NotRunProof | None':
        """Return a proof, or None if the request may have run."""
        if self.may_have_run:
            return None
        return NotRunProof(guard=self)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRunProof:
    """Evidence that a request did not run.

    The constructor checks the guard again, so no proof exists for a
    request that may have run.

    Parameters
    ----------
    guard : SendGuard
        Guard of the request.

    Raises
    ------
    ValueError
        If the request may have run.
    """

    guard: SendGuard

    def __post_init__(self) -> None:
        if self.guard.may_have_run:
            raise ValueError(f'the request may have run: {self.guard!r}')
