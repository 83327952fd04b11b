"""Times of the leases."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseConfig:
    """Times of the leases; the same on every host.

    Parameters
    ----------
    duration_s : float
        Time a voter keeps a promise, on its own clock.
    renew_s : float
        Time between two asks of a holder.
    drift : float
        Most that a clock gains or loses, as a share: 0.01 is 1%.
    """

    duration_s: float = 6.0
    renew_s: float = 2.0
    drift: float = 0.01

    def __post_init__(self) -> None:
        if not 0 <= self.drift < 0.5:
            raise ValueError(f'drift not in [0, 0.5): {self.drift!r}')
        if self.renew_s * 2 >= self.duration_s:
            raise ValueError(f'renew_s too long: {self.renew_s!r}')

    @property
    def use_s(self) -> float:
        """Time a holder may use a promise, counted from its asking.

        The holder's clock may be the slowest and the voter's the
        fastest allowed; even then the holder stops first.
        """
        return self.duration_s * (1 - self.drift) / (1 + self.drift)
