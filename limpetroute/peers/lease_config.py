"""Durations of the leases."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseConfig:
    """Durations of the leases; must be the same on every host.

    Parameters
    ----------
    duration_s : float
        Time for which a voter keeps a promise, on its own clock.
    renew_s : float
        Time between two requests of a holder.
    drift : float
        Highest rate error of a clock, as a fraction: 0.01 is 1%.
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
        """Time a holder may use a promise, from the sending of its request.

        The holder stops before the voter's promise ends even if its own
        clock has the lowest and the voter's the highest allowed rate.
        """
        return self.duration_s * (1 - self.drift) / (1 + self.drift)
