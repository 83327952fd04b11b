"""Knows whether anything of a request may have reached a runner."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRunProof:
    """Evidence that a request did not run.

    Parameters
    ----------
    refusals : int
        Sends that the runner itself refused; 0 if nothing was sent.
    """

    refusals: int


class SendGuard:
    """Counts sends of one request and the refusals of them."""

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
        """Note a send; call it before the first byte goes out."""
        self._sent += 1

    def mark_refused(self) -> None:
        """Note that the newest send provably did not run."""
        self._refused += 1

    def not_run_proof(self) -> NotRunProof | None:
        """Return the proof, or None if something may have run."""
        if self._sent != self._refused:
            return None
        return NotRunProof(refusals=self._refused)
