"""Knows whether anything of a request may have reached a runner."""

import dataclasses


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

    @property
    def may_have_run(self) -> bool:
        """Whether a send stands that no runner has refused."""
        return self._sent != self._refused

    def not_run_proof(self) -> 'NotRunProof | None':
        """Return the proof, or None if something may have run."""
        if self.may_have_run:
            return None
        return NotRunProof(guard=self)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRunProof:
    """Evidence that a request did not run.

    It cannot be made for a request that may have run: the guard is
    asked again when the proof is made.

    Parameters
    ----------
    guard : SendGuard
        Guard of the request, none of whose sends ran.

    Raises
    ------
    ValueError
        If something of the request may have run.
    """

    guard: SendGuard

    def __post_init__(self) -> None:
        if self.guard.may_have_run:
            raise ValueError(f'may have run: {self.guard!r}')
