"""``GET /v1/watch``: what entry hosts follow."""

import asyncio
import dataclasses
import json

from limpetroute.border import routes_update_body
from limpetroute.control import base_handler

# Runners in one answer; the rest comes with the next. Some 10 KB once
# compressed.
MAX_ROWS = 200


class WatchHandler(base_handler.BaseHandler):
    """``GET /v1/watch``: what entry hosts follow."""

    async def get(self) -> None:
        """Show what the caller has not heard, once there is something.

        ``after`` is the place in the log up to which it knows runners,
        ``version`` the routes that it was told of, and ``held`` the
        digest of the routes that it holds. The call is held for at most
        ``wait_s``, and while ``leader`` is the address of the leader.
        """
        after = int(self._number('after', 0))
        version = int(self._number('version', 0))
        host_id = self.get_query_argument('host', '')
        if host_id:
            self.node.reports.note(host_id, version, self.node.now_s)
        await self._wait_beyond(
            after,
            version,
            self.get_query_argument('leader', ''),
            min(
                self._number('wait_s', 0.0),
                self.node.settings.watch_timeout_s,
            ),
        )
        await self.node.routes_splitter.split(self.node.config.state)
        self.finish_gzipped(json.dumps(self._body(after, version)).encode())

    def _body(self, after: int, version: int) -> dict[str, object]:
        state = self.node.config.state
        rows, index = state.runners.next_after(after, MAX_ROWS)
        if index >= state.runners.changed_index:
            index = max(index, state.routes_index, state.quarantine_index)
        body: dict[str, object] = {
            'index': index,
            'in_touch': self._is_in_touch(),
            'routes': self._notice(version),
            'runners': [dataclasses.asdict(row) for row in rows],
            'urls': self.node.urls,
            'entry_hosts': self._entry_hosts(),
            'leader_url': self._leader_url(),
        }
        if state.quarantine_index > after:
            body['quarantined'] = state.quarantine.requests
        return body

    def _notice(self, version: int) -> dict[str, object] | None:
        """Return the news of the routes.

        A change of a few routes is told whole; a larger one, or all of
        them, is fetched in slices beside this call. Told whole whatever
        its size, the routes of a grown fleet did not fit into the time
        that a caller gives a host that may be gone.
        """
        state = self.node.config.state
        if state.routes is None or state.routes.version <= version:
            return None
        body = routes_update_body.RoutesNoticeBody(
            version=state.routes.version, digest=state.routes.digest
        )
        known = state.recent_routes.update(
            self.get_query_argument('held', ''), state.routes.digest
        )
        notice = body.model_dump()
        if known is not None and known.inline:
            notice['update'] = json.loads(known.text)
        return notice

    def _entry_hosts(self) -> int:
        reports = self.node.reports
        return len(reports.all()) - len(reports.unresponsive(self.node.now_s))

    def _is_in_touch(self) -> bool:
        """Return whether this host hears a leader and has kept up.

        One that has just started hears the leader before it has applied
        the log; followed, it would show an older state as the newest.
        """
        replica = self.node.config.replica
        if replica.applied_index < replica.commit_index:
            return False
        return replica.has_active_leader(self.node.now_s)

    def _leader_url(self) -> str:
        return self.node.url_of(self.node.config.leader_host)

    async def _wait_beyond(
        self, after: int, version: int, leader_url: str, wait_s: float
    ) -> None:
        """Wait for news, or for another leader than the one known."""
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    changed = self.node.config.changed
                    state = self.node.config.state
                    if state.runners.changed_index > after:
                        return
                    if state.routes and state.routes.version > version:
                        return
                    if state.quarantine_index > after:
                        return
                    if leader_url and self._leader_url() != leader_url:
                        return
                    await changed.wait()
        except TimeoutError:
            return

    def _number(self, name: str, default: float) -> float:
        word = self.get_query_argument(name, '')
        try:
            return float(word) if word else default
        except ValueError:
            return default
