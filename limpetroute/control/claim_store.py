"""Claims, each of which allows one non-idempotent call to run once."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimGranted:
    """The claim is new; ``fence`` is sent with the one call it allows."""

    fence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimFound:
    """The call was claimed before.

    Parameters
    ----------
    same_body : bool
        Whether the earlier claim had the same body digest.
    status : int or None
        HTTP status of the call's response, or None while it is unknown:
        the call may have run and must not run again.
    body : str
        Body of the call's response.
    """

    same_body: bool
    status: int | None = None
    body: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimNotMade:
    """The claim was not written, or is being withdrawn.

    The call was not made, so it may be tried again.
    """

    reason: str
    retry_after_s: float = 1.0


ClaimResult = ClaimGranted | ClaimFound | ClaimNotMade


class ClaimStore(typing.Protocol):
    """The claims in the control log."""

    async def claim(
        self,
        *,
        team: str,
        key: str,
        body_digest: str,
        holder: str,
        timeout_s: float,
    ) -> ClaimResult:
        """Claim a call before any part of it is sent.

        If the control host's response is lost, the result is
        `ClaimNotMade` only once the claim is withdrawn, or will be before
        its key can be claimed here again. Otherwise a caller would get
        ``not_run`` for a claim that is in the log.
        """

    async def settle(
        self,
        *,
        team: str,
        key: str,
        status: int,
        body: str,
        timeout_s: float,
    ) -> bool:
        """Write the call's response; return whether it was committed."""
