"""``GET /v1/watch``: long-poll for changes, used by entry hosts."""

import asyncio
import dataclasses
import json

from limpetroute.border import routes_update_body
from limpetroute.control import base_handler
from limpetroute.routing import routes_copy

# Maximum number of runners in one response, about 10 KB once compressed.
# Further runners are returned by the next call.
MAX_ROWS = 200


class WatchHandler(base_handler.BaseHandler):
    """``GET /v1/watch``: long-poll for changes, used by entry hosts."""

    async def get(self) -> None:
        """Return the changes that the entry host has not received yet.

        The query has ``after``, the log index up to which the host knows
        the runners; ``version``, the version of the last routes notice that
        it received, absent or empty if there is none; and ``held``, the
        digest of the routes that it holds. Without changes, the response is
        delayed for at most ``wait_s``, or until ``leader`` is no longer the
        leader's address.
        """
        after = self.query_integer('after', 0)
        version = self.query_integer('version', routes_copy.NO_VERSION)
        term = self.query_integer('term', 0)
        wait_s = self.query_seconds('wait_s')
        host_id = self.get_query_argument('host', '')
        if host_id:
            self.node.reports.note(host_id, max(0, version), self.node.now_s)
        await self._wait_for_change(
            after,
            version,
            self.get_query_argument('leader', ''),
            term,
            min(wait_s, self.node.settings.watch_timeout_s),
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
            'in_touch': self._is_up_to_date(),
            'routes': self._notice(version),
            'runners': [dataclasses.asdict(row) for row in rows],
            'urls': self.node.urls,
            'entry_hosts': self._entry_hosts(),
            'leader_url': self._leader_url(),
            'leader_term': self.node.config.replica.term,
        }
        if state.quarantine_index > after:
            body['quarantined'] = state.quarantine.requests
        return body

    def _notice(self, version: int) -> dict[str, object] | None:
        """Return the notice of a newer version of the routes, or None.

        The notice contains the update if that is small. Entry hosts fetch a
        larger one in slices by separate calls: with all routes of a large
        fleet in the notice, the response took longer than the timeout of
        the watch call.
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

    def _is_up_to_date(self) -> bool:
        """Return whether this host follows a leader and is up to date.

        A host that has just started is in contact with the leader before it
        has applied the log, and would serve an old state as the newest.
        """
        replica = self.node.config.replica
        if replica.applied_index < replica.commit_index:
            return False
        return replica.has_active_leader(self.node.now_s)

    def _leader_url(self) -> str:
        return self.node.url_of(self.node.config.leader_host)

    async def _wait_for_change(
        self,
        after: int,
        version: int,
        leader_url: str,
        term: int,
        wait_s: float,
    ) -> None:
        """Wait for a change, another leader than ``leader_url`` or a term."""
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
                    if term and self.node.config.replica.term > term:
                        return
                    await changed.wait()
        except TimeoutError:
            return
