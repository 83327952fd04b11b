"""Durations of the grants."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantConfig:
    """Durations of the grants; must be the same on every host.

    Parameters
    ----------
    valid_s : float
        Time in which a granted run may be started, unless the grant is
        renewed.
    order_flight_s : float
        Longest time from the sending of an import order to its end. An
        entry host sends no order if its grant expires within this time.
    report_delay_s : float
        Longest time that a runner's report is in transit.
    drift : float
        Highest rate error of a clock, as a fraction: 0.01 is 1%.
    move_after_s : float
        Time for which a better placed host must have been present before
        a runner is handed over to it.
    hand_over_s : float
        Time after which a hand-over without a reply is abandoned.
    """

    valid_s: float = 4.0
    order_flight_s: float = 2.0
    report_delay_s: float = 1.0
    drift: float = 0.01
    move_after_s: float = 10.0
    hand_over_s: float = 2.0
