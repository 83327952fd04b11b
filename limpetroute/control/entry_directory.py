"""Where entry hosts accept requests of each other."""

import hashlib

from limpetroute.border import entry_hosts_body

MAX_HOSTS = 5000
# A host reports every few seconds. One that has stopped fails for those that
# still try it, and they pass it over.
EXPIRY_S = 30.0


class EntryDirectory:
    """Where entry hosts accept requests of each other.

    The list is kept in memory: hosts report to the leading control host,
    and again when another one leads.
    """

    __slots__ = ('_digest', '_hosts')

    def __init__(self) -> None:
        self._hosts: dict[
            str, tuple[entry_hosts_body.EntryHostBody, float]
        ] = {}
        self._digest = ''

    def __repr__(self) -> str:
        return f'{type(self).__name__}(hosts={len(self._hosts)!r})'

    def note(self, host: entry_hosts_body.EntryHostBody, now_s: float) -> None:
        """Record a host's report, and drop hosts without a recent one."""
        known = self._hosts.get(host.host_id)
        if known is None and len(self._hosts) >= MAX_HOSTS:
            return
        if known is None or known[0] != host:
            self._digest = ''
        self._hosts[host.host_id] = (host, now_s)
        for host_id, (_, seen_s) in list(self._hosts.items()):
            if now_s - seen_s > EXPIRY_S:
                del self._hosts[host_id]
                self._digest = ''

    @property
    def digest(self) -> str:
        """Digest of the list."""
        if not self._digest:
            text = '\n'.join(
                host.model_dump_json() for host in self.hosts()
            ).encode()
            self._digest = hashlib.blake2b(text, digest_size=8).hexdigest()
        return self._digest

    def hosts(self) -> list[entry_hosts_body.EntryHostBody]:
        """Return the hosts, in the order of their names."""
        return [self._hosts[host_id][0] for host_id in sorted(self._hosts)]
