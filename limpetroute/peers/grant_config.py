"""Times of the grants."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantConfig:
    """Times of the grants; the same on every host.

    Parameters
    ----------
    valid_s : float
        Time in which a granted run may be started, unless renewed.
    order_flight_s : float
        Longest time from the sending of an import order to its end; an
        asker sends none when its grant lasts no longer than this.
    report_delay_s : float
        Longest time a runner's report is under way.
    drift : float
        Most that a clock gains or loses, as a share.
    move_after_s : float
        Time a better placed host must have been there before a runner
        is handed over to it.
    hand_over_s : float
        Time after which a hand-over without an answer is given up.
    """

    valid_s: float = 4.0
    order_flight_s: float = 2.0
    report_delay_s: float = 1.0
    drift: float = 0.01
    move_after_s: float = 10.0
    hand_over_s: float = 2.0
