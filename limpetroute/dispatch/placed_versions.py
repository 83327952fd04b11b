"""The software versions of placements whose streams have not begun."""

import collections
import dataclasses
import sys
import typing

from limpetroute.routing import placement
from limpetroute.routing import stream_origins

_PlacementKey = tuple[str, str, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Placed:
    # Of the request itself, and of the attempt that it resumes.
    keys: tuple[stream_origins.StreamKey, ...]
    version: str
    expires_s: float


class PlacedVersions:
    """The software versions of placements whose streams have not begun.

    A placement says nothing about its stream's origin until its host has used
    it. The response may have been lost, or the runner may have failed before
    the first event, and the host may then have placed the stream by itself.

    A stream without events may be placed again, at another version. What was
    noted of its earlier placement is no origin any more, as its host may be
    lost after the first event and before it has named the new one.

    Parameters
    ----------
    origins : StreamOrigins
        Where the version is noted once the host has used the placement.
    max_entries : int
        Most placements that are kept; the oldest is dropped.
    """

    def __init__(
        self,
        *,
        origins: stream_origins.StreamOrigins,
        max_entries: int,
    ) -> None:
        self._origins = origins
        self._max_entries = max_entries
        self._placed: collections.OrderedDict[_PlacementKey, _Placed] = (
            collections.OrderedDict()
        )
        # The last placement of each stream.
        self._last: dict[stream_origins.StreamKey, _PlacementKey] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(placed={len(self._placed)!r})'

    def add(
        self,
        request: placement.PlacementRequest,
        placed: placement.Placement,
        now_s: float,
    ) -> None:
        """Keep the version of a placement's decode runner."""
        version = _decode_version(placed)
        ids = [request.request_id]
        if request.goes_on and request.resumes:
            # A later attempt may name the same one.
            ids.append(request.resumes)
        keys = tuple(
            stream_origins.StreamKey(
                # Each request was parsed into texts of its own.
                service=sys.intern(request.service),
                team=sys.intern(request.team),
                request_id=request_id,
            )
            for request_id in ids
        )
        if not request.goes_on:
            self._forget_earlier(keys[0], version, now_s)
        if version is None:
            return
        remaining_s = max(0.0, request.patience_s - request.waited_s)
        key = (request.service, request.request_id, request.attempt)
        self._pop(key)
        self._last[keys[0]] = key
        self._placed[key] = _Placed(
            keys=keys,
            version=version,
            expires_s=now_s
            + remaining_s
            + stream_origins.KEPT_AFTER_DEADLINE_S,
        )
        if len(self._placed) > self._max_entries:
            self._pop(next(iter(self._placed)))

    def note_used(
        self, service: str, request_id: str, attempt: int, now_s: float
    ) -> None:
        """Note the version of a placement that its host has used."""
        placed = self._pop((service, request_id, attempt))
        if placed is None:
            return
        for key in placed.keys:
            self._origins.note(key, placed.version, placed.expires_s, now_s)

    def drop(self, service: str, request_id: str, attempt: int) -> None:
        """Drop a placement that has been released."""
        self._pop((service, request_id, attempt))

    def _forget_earlier(
        self,
        key: stream_origins.StreamKey,
        version: str | None,
        now_s: float,
    ) -> None:
        """Forget earlier placements of a stream that is placed again."""
        earlier = self._last.get(key)
        if earlier is not None:
            # A report that it was used may still arrive.
            self._pop(earlier)
        if self._origins.find(key, now_s) != version:
            self._origins.forget(key)

    def _pop(self, key: _PlacementKey) -> _Placed | None:
        placed = self._placed.pop(key, None)
        if placed is not None and self._last.get(placed.keys[0]) == key:
            del self._last[placed.keys[0]]
        return placed


def _decode_version(placed: placement.Placement) -> str | None:
    versions: typing.Iterator[str | None] = (
        runner.version
        for runner in placed.runners
        if runner.runner_id == placed.decode_id
    )
    return next(versions, None)
