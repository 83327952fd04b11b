"""An in-memory claim store with failures that tests can inject."""

import dataclasses

from limpetroute.control import claim_store


@dataclasses.dataclass(kw_only=True)
class Claim:
    digest: str
    fence: int
    status: int | None = None
    body: str = ''


class MemoryClaimStore:
    def __init__(self) -> None:
        self.claims: dict[tuple[str, str], Claim] = {}
        self.reachable = True
        self.fail_settles = 0

    async def claim(
        self,
        *,
        team: str,
        key: str,
        body_digest: str,
        holder: str,
        timeout_s: float,
    ) -> claim_store.ClaimResult:
        if not self.reachable:
            return claim_store.ClaimNotMade(reason='no_quorum')
        found = self.claims.get((team, key))
        if found is None:
            fence = len(self.claims) + 1
            self.claims[team, key] = Claim(digest=body_digest, fence=fence)
            return claim_store.ClaimGranted(fence=fence)
        return claim_store.ClaimFound(
            same_body=found.digest == body_digest,
            status=found.status,
            body=found.body,
        )

    async def settle(
        self,
        *,
        team: str,
        key: str,
        status: int,
        body: str,
        timeout_s: float,
    ) -> bool:
        if self.fail_settles > 0:
            self.fail_settles -= 1
            return False
        claim = self.claims[team, key]
        claim.status = status
        claim.body = body
        return True
