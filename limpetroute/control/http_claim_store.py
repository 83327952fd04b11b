"""A claim store that calls the control hosts."""

import asyncio
import logging
import secrets

from limpetroute.control import claim_store
from limpetroute.control import control_client

LOG = logging.getLogger(__name__)

WITHDRAW_TIMEOUT_S = 10.0
MAX_WITHDRAWALS = 10_000


class HttpClaimStore:
    """A claim store that calls the control hosts.

    If the response to a claim is lost, the claim is withdrawn before its
    key can be claimed here again. The caller got ``not_run``, and without
    the withdrawal each retry would find its own unused claim.

    Parameters
    ----------
    client : ControlClient
        Finds the leader.
    """

    def __init__(self, *, client: control_client.ControlClient) -> None:
        self._client = client
        self._withdrawals: dict[tuple[str, str], asyncio.Task[None]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(client={self._client!r})'

    async def claim(
        self,
        *,
        team: str,
        key: str,
        body_digest: str,
        holder: str,
        timeout_s: float,
    ) -> claim_store.ClaimResult:
        """Claim a call before any part of it is sent."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        if not await self._await_withdrawal(team, key, timeout_s):
            return claim_store.ClaimNotMade(
                reason='an earlier claim is being withdrawn'
            )
        token = secrets.token_hex(12)
        try:
            got = await self._client.post(
                path='/v1/claims',
                body={
                    'team': team,
                    'key': key,
                    'body_digest': body_digest,
                    'holder': holder,
                    'token': token,
                },
                timeout_s=max(0.0, until_s - loop.time()),
            )
        except asyncio.CancelledError:
            self._withdraw(team, key, token)
            raise
        if isinstance(got, control_client.NotRun):
            return claim_store.ClaimNotMade(reason=got.reason)
        if isinstance(got, control_client.Unknown):
            self._withdraw(team, key, token)
            return claim_store.ClaimNotMade(reason=got.reason)
        return self._claim_result(got, team, key, token)

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
        got = await self._client.post(
            path='/v1/claims/settle',
            body={'team': team, 'key': key, 'status': status, 'body': body},
            timeout_s=timeout_s,
        )
        if not isinstance(got, control_client.Answered):
            return False
        return got.status == 200 and bool(got.body.get('known'))

    async def close(self) -> None:
        """Cancel withdrawals in progress."""
        for task in self._withdrawals.values():
            task.cancel()

    def _claim_result(
        self, got: control_client.Answered, team: str, key: str, token: str
    ) -> claim_store.ClaimResult:
        outcome = got.body.get('outcome')
        if outcome == 'granted':
            return claim_store.ClaimGranted(fence=int(got.body['fence']))
        if outcome == 'found':
            return claim_store.ClaimFound(
                same_body=bool(got.body['same_body']),
                status=int(got.body['status']) or None,
                body=str(got.body['body']),
            )
        reason = '; '.join(got.body.get('errors', [])) or str(outcome)
        return claim_store.ClaimNotMade(reason=reason)

    async def _await_withdrawal(
        self, team: str, key: str, timeout_s: float
    ) -> bool:
        task = self._withdrawals.get((team, key))
        if task is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(task)
        except TimeoutError:
            return False
        return True

    def _withdraw(self, team: str, key: str, token: str) -> None:
        if len(self._withdrawals) >= MAX_WITHDRAWALS:
            # The claim stays in the log, and calls with its key get an
            # unknown outcome. That is safe, and an operator can settle it.
            LOG.warning('too many claims to withdraw')
            return
        task = asyncio.create_task(self._retry_withdrawal(team, key, token))
        self._withdrawals[team, key] = task

    async def _retry_withdrawal(self, team: str, key: str, token: str) -> None:
        body = {'team': team, 'key': key, 'token': token}
        while True:
            got = await self._client.post(
                path='/v1/claims/withdraw',
                body=body,
                timeout_s=WITHDRAW_TIMEOUT_S,
            )
            if isinstance(got, control_client.Answered):
                del self._withdrawals[team, key]
                return
