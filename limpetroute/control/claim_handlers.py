"""Handlers for call claims and fencing numbers."""

import time

from limpetroute.border import claim_bodies
from limpetroute.control import base_handler
from limpetroute.control import commands
from limpetroute.control import results


class ClaimHandler(base_handler.BaseHandler):
    """``POST`` and ``GET /v1/claims``."""

    async def post(self) -> None:
        """Grant a claim, or return the existing one."""
        body = self.parse(claim_bodies.ClaimBody)
        if body is None:
            return
        command = commands.MakeClaim(
            team=body.team,
            key=body.key,
            body_digest=body.body_digest,
            holder=body.holder,
            token=body.token,
            at_s=time.time(),
        )
        group = self.node.claim_group(body.team, body.key)
        result = await self.commit(group, command, body.timeout_s)
        if result is None:
            return
        granted = isinstance(result, results.Granted)
        self.reply('granted' if granted else 'found', result)

    def get(self) -> None:
        """Return one claim from this host's state."""
        team = self.get_query_argument('team', '')
        key = self.get_query_argument('key', '')
        claim = self.node.claim_group(team, key).state.claims.get(team, key)
        if claim is None:
            self.set_status(404)
            self.finish({'outcome': 'none'})
            return
        self.finish(
            {
                'outcome': 'found',
                'holder': claim.holder,
                'status': claim.status,
                'made_s': claim.made_s,
                'settled_s': claim.settled_s,
            }
        )


class WithdrawHandler(base_handler.BaseHandler):
    """``POST /v1/claims/withdraw``."""

    async def post(self) -> None:
        """Withdraw a claim and void its token."""
        body = self.parse(claim_bodies.WithdrawBody)
        if body is None:
            return
        command = commands.WithdrawClaim(
            team=body.team, key=body.key, token=body.token, at_s=time.time()
        )
        group = self.node.claim_group(body.team, body.key)
        result = await self.commit(group, command, body.timeout_s)
        if result is not None:
            self.reply('withdrawn', result)


class SettleHandler(base_handler.BaseHandler):
    """``POST /v1/claims/settle``."""

    async def post(self) -> None:
        """Write the response of a claimed call.

        A body larger than ``max_outcome_bytes`` is stored as empty.
        """
        body = self.parse(claim_bodies.SettleBody)
        if body is None:
            return
        limit = self.node.settings.max_outcome_bytes
        text = body.body
        if len(text.encode()) > limit:
            text = ''
        command = commands.SettleClaim(
            team=body.team,
            key=body.key,
            status=body.status,
            body=text,
            at_s=time.time(),
        )
        group = self.node.claim_group(body.team, body.key)
        result = await self.commit(group, command, body.timeout_s)
        if result is not None:
            self.reply('settled', result)


class FenceHandler(base_handler.BaseHandler):
    """``POST /v1/fences``."""

    async def post(self) -> None:
        """Return the next fencing number of a name."""
        body = self.parse(claim_bodies.FenceBody)
        if body is None:
            return
        result = await self.commit(
            self.node.config,
            commands.NextFence(name=body.name),
            body.timeout_s,
        )
        if result is not None:
            self.reply('given', result)
