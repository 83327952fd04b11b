"""The last routing configurations, and the updates between them."""

import collections
import gzip

from limpetroute.border import routes_update_body
from limpetroute.control import routes_store
from limpetroute.routing import config_fragments
from limpetroute.routing import routes_copy

MAX_VERSIONS = 32
MAX_BYTES = 16 << 20
MAX_UPDATES = 8
# Maximum size of a slice of an update. Compressed, this is about 6 KB,
# which takes 10 ms on a link of 5 Mbit/s.
SLICE_CHARS = 65536
# Updates up to this size are part of the notice of a new version.
INLINE_CHARS = 8192


class UpdateText:
    """An update's JSON text, and its compressed slices.

    All hosts receive the same bytes, so each slice is compressed once.

    Parameters
    ----------
    update : RoutesUpdate
        The update.
    """

    __slots__ = ('_slices', '_update', 'text')

    def __init__(self, *, update: routes_copy.RoutesUpdate) -> None:
        self._update = update
        self._slices: dict[int, bytes] = {}
        self.text = routes_update_body.encode(update)

    def __repr__(self) -> str:
        return f'{type(self).__name__}(chars={len(self.text)!r})'

    @property
    def base(self) -> str:
        """Digest of the document that the update applies to."""
        return self._update.base

    @property
    def inline(self) -> bool:
        """Whether the update is small enough to be part of the notice."""
        return len(self.text) <= INLINE_CHARS

    def slice(self, offset: int) -> bytes:
        """Return the gzipped JSON body of one slice."""
        known = self._slices.get(offset)
        if known is not None:
            return known
        body = routes_update_body.RoutesSliceBody(
            base=self._update.base,
            digest=self._update.digest,
            size=len(self.text),
            offset=offset,
            text=self.text[offset : offset + SLICE_CHARS],
        )
        data = gzip.compress(body.model_dump_json().encode(), mtime=0)
        if offset % SLICE_CHARS == 0:
            self._slices[offset] = data
        return data


class RecentRoutes:
    """The last routing configurations, and the updates between them.

    An entry host receives only the changes since the version that it holds,
    if that version is still stored here. Documents are split into fragments
    on first use, because a replica that replays its log applies hundreds of
    them and needs only the last.
    """

    __slots__ = ('_copies', '_texts', '_updates')

    def __init__(self) -> None:
        self._texts: collections.OrderedDict[
            str, routes_store.RoutesInForce
        ] = collections.OrderedDict()
        self._copies: dict[str, routes_copy.RoutesCopy] = {}
        self._updates: collections.OrderedDict[tuple[str, str], UpdateText] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(versions={len(self._texts)!r})'

    def note(self, routes: routes_store.RoutesInForce) -> None:
        """Add the configuration that is now in force."""
        self._texts.pop(routes.digest, None)
        self._copies.pop(routes.digest, None)
        self._texts[routes.digest] = routes
        chars = sum(len(stored.text) for stored in self._texts.values())
        while len(self._texts) > 1 and (
            len(self._texts) > MAX_VERSIONS or chars > MAX_BYTES
        ):
            digest, oldest = self._texts.popitem(last=False)
            self._copies.pop(digest, None)
            chars -= len(oldest.text)

    def is_split(self, digest: str) -> bool:
        """Return whether a version has been split into fragments."""
        return digest in self._copies

    def store_fragments(
        self,
        routes: routes_store.RoutesInForce,
        fragments: tuple[config_fragments.ConfigFragment, ...],
    ) -> None:
        """Store the fragments of a version, unless it has been dropped."""
        if self._texts.get(routes.digest) is not routes:
            return
        self._copies[routes.digest] = routes_copy.RoutesCopy(
            version=routes.version, digest=routes.digest, parts=fragments
        )

    def get(self, digest: str) -> routes_copy.RoutesCopy | None:
        """Return a version, split into fragments, or None."""
        routes = self._texts.get(digest)
        if routes is None:
            return None
        known = self._copies.get(digest)
        if known is None:
            self.store_fragments(routes, config_fragments.split(routes.text))
            known = self._copies[digest]
        return known

    def update(self, base: str, digest: str) -> UpdateText | None:
        """Return the update from one version to another, or None.

        If ``base`` is not stored here, the update starts from an empty
        configuration.
        """
        newer = self.get(digest)
        if newer is None:
            return None
        older = self.get(base) or routes_copy.RoutesCopy()
        key = (older.digest, digest)
        known = self._updates.get(key)
        if known is None:
            known = UpdateText(update=routes_copy.update_between(older, newer))
            self._updates[key] = known
        self._updates.move_to_end(key)
        while len(self._updates) > MAX_UPDATES:
            self._updates.popitem(last=False)
        return known
