"""What a caller may send, and how slowly."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    The defaults hold until a configuration is known.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
