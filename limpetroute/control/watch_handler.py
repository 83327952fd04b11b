"""``GET /v1/watch``: what entry hosts follow."""

import asyncio
import dataclasses
import json

from limpetroute.control import base_handler
from limpetroute.control import control_state


class WatchHandler(base_handler.BaseHandler):
    """``GET /v1/watch``: what entry hosts follow."""

    async def get(self) -> None:
        """Show what changed after ``after``, once something has.

        The call is held for at most ``wait_s``, and while ``leader``
        is the address of the leader. With ``sure``, only a
        leader whose lease runs answers, and at once.
        """
        after = int(self._number('after', 0))
        host_id = self.get_query_argument('host', '')
        if host_id:
            self.node.reports.note(host_id, after, self.node.now_s)
        if self.get_query_argument('sure', ''):
            if not self.node.config.replica.can_read(self.node.now_s):
                self.refuse('', 'not the leader')
                return
        else:
            limit_s = self.node.settings.watch_timeout_s
            await self._wait_beyond(
                after,
                self.get_query_argument('leader', ''),
                min(self._number('wait_s', 0.0), limit_s),
            )
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(self._body(after), separators=(',', ':')))

    def _body(self, after: int) -> dict[str, object]:
        state = self.node.config.state
        routes = None
        if state.routes is not None and state.routes_index > after:
            routes = dataclasses.asdict(state.routes)
        return {
            'index': _changed_index(state),
            'in_touch': self._is_in_touch(),
            'routes': routes,
            'runners': [
                dataclasses.asdict(row)
                for row in state.runners.changed_after(after)
            ],
            'urls': self.node.urls,
            'entry_hosts': self._entry_hosts(),
            'leader_url': self._leader_url(),
        }

    def _entry_hosts(self) -> int:
        reports = self.node.reports
        return len(reports.all()) - len(reports.away(self.node.now_s))

    def _is_in_touch(self) -> bool:
        """Return whether this host hears a leader and has kept up.

        One that has just started hears the leader before it has applied
        the log; followed, it would show an older state as the newest.
        """
        replica = self.node.config.replica
        if replica.applied_index < replica.commit_index:
            return False
        return replica.in_touch(self.node.now_s)

    def _leader_url(self) -> str:
        return self.node.url_of(self.node.config.leader_host)

    async def _wait_beyond(
        self, after: int, known: str, wait_s: float
    ) -> None:
        """Wait for news, or for another leader than the one known."""
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    changed = self.node.config.changed
                    if _changed_index(self.node.config.state) > after:
                        return
                    if known and self._leader_url() != known:
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


def _changed_index(state: control_state.ControlState) -> int:
    return max(state.routes_index, state.runners.changed_index)
