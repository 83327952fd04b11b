"""A team whose callers share keys and a quota."""

import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Quota:
    """Bound on what a team's requests use, over all hosts together.

    Parameters
    ----------
    rate_per_s : float
        Units per second.
    burst : float
        Units beyond the rate that may be used in any window.
    counts_tokens : bool
        Whether the units are tokens; otherwise each request is one unit.
    default_tokens : float
        Tokens of a request that states none.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    default_tokens: float = 0.0

    def cost(self, stated_tokens: float | None) -> float:
        """Return the units of a request.

        Parameters
        ----------
        stated_tokens : float or None
            Tokens that the request states; None if it states none.
        """
        if not self.counts_tokens:
            return 1.0
        if stated_tokens is None:
            return self.default_tokens
        return stated_tokens


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Team:
    """A team whose callers share keys and a quota.

    Parameters
    ----------
    name : str
        Name of the team, which runners receive.
    key_digests : tuple of bytes
        Digests of its keys; see `key_digest`.
    priority : int or None
        Priority of its requests; None for that of their routes.
    quota : Quota or None
        Bound on its requests; None for no bound.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    quota: Quota | None = None


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and compared.

    A comparison of keys that stops at the first difference would tell an
    attacker, by its duration, how much of a guessed key is right.
    """
    return hashlib.sha256(key.encode()).digest()
