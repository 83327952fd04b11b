"""The software versions that the runners of a service had lately."""

import typing

from limpetroute.routing import runner_info

# A stream that is taken up began within its caller's deadline, which is
# shorter than this.
VERSION_MEMORY_S = 120.0


class VersionHistory:
    """The software versions that the runners of a service had lately."""

    def __init__(self) -> None:
        self._live: dict[str, set[str | None]] = {}
        # When runners of versions that are not live any more were seen last.
        self._last_seen_s: dict[str, dict[str | None, float]] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(live={self._live!r})'

    def note(
        self,
        *,
        live: typing.Iterable[runner_info.RunnerInfo],
        departed: typing.Iterable[runner_info.RunnerInfo],
        now_s: float,
    ) -> None:
        """Note the runners of all services after a change.

        A version that was live before the change counts as live until now.

        Parameters
        ----------
        live : iterable of RunnerInfo
            All runners that are registered.
        departed : iterable of RunnerInfo
            Runners that have left since the last call; at the first call
            all that are known to have left, as it is not known when.
        now_s : float
            Current time.
        """
        for service, versions in self._live.items():
            for version in versions:
                self._see(service, version, now_s)
        for runner in departed:
            self._see(runner.service, runner.version, now_s)
        self._live = {}
        for runner in live:
            self._live.setdefault(runner.service, set()).add(runner.version)
        self._drop_old(now_s)

    def sole_version(self, service: str, now_s: float) -> str | None:
        """Return the only version that runners had within the last time.

        None if there were several, or none, or if the version of a runner
        is not known.
        """
        versions = set(self._live.get(service, ()))
        for version, seen_s in self._last_seen_s.get(service, {}).items():
            if now_s - seen_s <= VERSION_MEMORY_S:
                versions.add(version)
        if len(versions) != 1:
            return None
        return versions.pop()

    def _see(self, service: str, version: str | None, now_s: float) -> None:
        self._last_seen_s.setdefault(service, {})[version] = now_s

    def _drop_old(self, now_s: float) -> None:
        self._last_seen_s = {
            service: {
                version: seen_s
                for version, seen_s in versions.items()
                if now_s - seen_s <= VERSION_MEMORY_S
            }
            for service, versions in self._last_seen_s.items()
        }
