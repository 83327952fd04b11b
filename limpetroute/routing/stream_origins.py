"""The software versions at which recent streams began."""

import collections
import dataclasses

# Callers choose their ids, which must not fill the table with long texts.
MAX_ID_CHARS = 256
# Callers whose time is over may take a stream up again, with a new deadline.
KEPT_AFTER_DEADLINE_S = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamKey:
    """Identifies a caller's attempt.

    Parameters
    ----------
    service : str
        Name of the service.
    team : str
        The caller's team; empty if it is of none.
    request_id : str
        The attempt, as its caller names it.
    """

    service: str
    team: str
    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """The software version at which a stream began.

    Parameters
    ----------
    key : StreamKey
        The stream.
    version : str
        Software version of the runner that sent its first event.
    remaining_s : float
        How much longer this is kept.
    """

    key: StreamKey
    version: str
    remaining_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    version: str
    expires_s: float


class StreamOrigins:
    """The software versions at which recent streams began.

    Parameters
    ----------
    max_entries : int
        Most streams that are kept; the one that was noted first is dropped.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._entries: collections.OrderedDict[StreamKey, _Entry] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(entries={len(self._entries)!r})'

    def __len__(self) -> int:
        return len(self._entries)

    def note(
        self, key: StreamKey, version: str, expires_s: float, now_s: float
    ) -> None:
        """Note a stream's version in place of an earlier one.

        A stream without an id, or with a longer one than `MAX_ID_CHARS`, is
        not noted.

        Parameters
        ----------
        key : StreamKey
            The stream.
        version : str
            Its software version.
        expires_s : float
            Time until which it is kept.
        now_s : float
            Current time.
        """
        if not 0 < len(key.request_id) <= MAX_ID_CHARS:
            return
        self._entries.pop(key, None)
        self._entries[key] = _Entry(version, expires_s)
        # Each call adds one entry, so this is constant work per call. An
        # expired entry behind one that is kept is never returned.
        while len(self._entries) > self._max_entries or (
            self._entries
            and next(iter(self._entries.values())).expires_s <= now_s
        ):
            self._entries.popitem(last=False)

    def forget(self, key: StreamKey) -> None:
        """Forget a stream, whose version is not certain any more."""
        self._entries.pop(key, None)

    def find(self, key: StreamKey, now_s: float) -> str | None:
        """Return a stream's version, or None if it is not known."""
        entry = self._entries.get(key)
        if entry is None or entry.expires_s <= now_s:
            return None
        return entry.version

    def entries(self, now_s: float) -> list[StreamOrigin]:
        """Return all streams that are kept, the one noted first in front."""
        return [
            StreamOrigin(
                key=key,
                version=entry.version,
                remaining_s=entry.expires_s - now_s,
            )
            for key, entry in self._entries.items()
            if entry.expires_s > now_s
        ]
