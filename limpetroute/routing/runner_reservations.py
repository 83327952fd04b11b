"""The slots of one runner that are reserved."""

from limpetroute.routing import memory_forecast
from limpetroute.routing import memory_profile


class RunnerReservations:
    """The slots of one runner that are reserved."""

    def __init__(self) -> None:
        self._streams: dict[str, memory_forecast.MemoryForecast] = {}
        self._on_time: set[str] = set()
        self._prefills: set[str] = set()
        self._profile: memory_profile.MemoryProfile | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(streams={len(self._streams)!r}, '
            f'prefills={len(self._prefills)!r})'
        )

    @property
    def stream_count(self) -> int:
        """Number of streams that the runner decodes."""
        return len(self._streams)

    @property
    def uses(self) -> int:
        """Number of streams that the runner prefills or decodes."""
        return len(self._streams) + len(self._prefills)

    @property
    def request_ids(self) -> list[str]:
        """The streams that the runner decodes."""
        return list(self._streams)

    @property
    def on_time_count(self) -> int:
        """Number of streams that a longer pause would make late."""
        return len(self._on_time)

    def add(
        self,
        request_id: str,
        forecast: memory_forecast.MemoryForecast,
        *,
        on_time: bool,
    ) -> None:
        """Add a stream that the runner decodes."""
        self._streams[request_id] = forecast
        self._profile = None
        if on_time:
            self._on_time.add(request_id)

    def note_late(self, request_id: str) -> None:
        """Take note that a stream has missed its targets."""
        self._on_time.discard(request_id)

    def note_long_pause(self) -> None:
        """Take note of a pause that makes all streams late."""
        self._on_time.clear()

    def on_time_ends_s(self, now_s: float) -> list[float]:
        """Return when the streams that are on time end, in order."""
        return sorted(
            max(now_s, self._streams[one].ends_s(now_s))
            for one in self._on_time
        )

    def add_prefill(self, request_id: str) -> None:
        """Add a stream whose prompt the runner reads."""
        self._prefills.add(request_id)

    def discard(self, request_id: str) -> None:
        """Forget a stream."""
        self._prefills.discard(request_id)
        self._on_time.discard(request_id)
        if self._streams.pop(request_id, None) is not None:
            self._profile = None

    def profile(self, now_s: float) -> memory_profile.MemoryProfile:
        """Return the memory that its streams take until each one ends."""
        known = self._profile
        if known is None or now_s >= known.valid_until_s:
            known = memory_profile.MemoryProfile(self._streams.values(), now_s)
            self._profile = known
        return known
