"""``POST`` and ``GET /v1/manifest``."""

import asyncio
import json

from limpetroute.border import manifest as manifest_module
from limpetroute.control import base_handler
from limpetroute.control import commands
from limpetroute.control import manifest_store

POLL_S = 0.05
MAX_WAIT_S = 60.0


class ManifestHandler(base_handler.BaseHandler):
    """``POST`` and ``GET /v1/manifest``."""

    async def post(self) -> None:
        """Submit a manifest, and wait until the entry hosts have it."""
        body = self.parse(manifest_module.ManifestBody)
        if body is None:
            return
        wait_s = self.query_seconds('wait_s')
        command = commands.SubmitManifest(
            number=body.number,
            digest=body.digest,
            sender=body.sender,
            text=body.model_dump_json(),
        )
        limit_s = self.node.settings.commit_timeout_s
        result = await self.commit(self.node.config, command, limit_s)
        if result is None:
            return
        if isinstance(result, manifest_store.Conflict):
            self.set_status(409)
            self.reply('conflict', result)
            return
        if isinstance(result, manifest_store.Stale):
            self.set_status(409)
            self.reply('stale', result)
            return
        assert isinstance(result, manifest_store.Accepted)
        behind = await self._wait_for_hosts(
            body.number, min(wait_s, MAX_WAIT_S)
        )
        self.finish(
            {
                'outcome': 'accepted',
                'number': result.number,
                'digest': result.digest,
                'resent': result.resent,
                'in_force': not behind,
                'hosts': len(self.node.reports.all()),
                'waiting_for': behind,
            }
        )

    async def get(self) -> None:
        """Return the newest manifest, once its number is above ``after``.

        Entry hosts pass ``host`` and ``number``, their own revision, which
        is recorded as their report. With ``sure``, only the leader replies.
        """
        after = self.query_integer('after', -1, minimum=-1)
        held = self.query_integer('number', 0)
        wait_s = min(
            self.query_seconds('wait_s'), self.node.settings.watch_timeout_s
        )
        host_id = self.get_query_argument('host', '')
        if host_id:
            self.node.reports.note(host_id, held, self.node.now_s)
        await self._wait_for_newer(after, wait_s)
        if self.get_query_argument('sure', '') and not self._is_up_to_date():
            return
        group = self.node.config
        newest = group.state.newest
        number = newest.number if newest else 0
        in_touch = group.replica.has_active_leader(self.node.now_s)
        text = newest.text if newest and number > after else 'null'
        self.set_header('Content-Type', 'application/json')
        self.finish(
            f'{{"number":{number},"in_touch":{json.dumps(in_touch)},'
            f'"manifest":{text}}}'
        )

    def _is_up_to_date(self) -> bool:
        """Return whether this host's state is up to date.

        If not, replies with the leader's URL.
        """
        group = self.node.config
        if group.replica.can_read(self.node.now_s):
            return True
        self.refuse(group.leader_host, 'not the leader')
        return False

    async def _wait_for_newer(self, after: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    changed = self.node.config.changed
                    newest = self.node.config.state.newest
                    if newest is not None and newest.number > after:
                        return
                    await changed.wait()
        except TimeoutError:
            return

    async def _wait_for_hosts(self, number: int, wait_s: float) -> list[str]:
        until_s = self.node.now_s + wait_s
        while True:
            behind = self.node.reports.behind(number)
            away = self.node.reports.unresponsive(self.node.now_s)
            if not set(behind) - set(away) or self.node.now_s >= until_s:
                return behind
            await asyncio.sleep(POLL_S)
