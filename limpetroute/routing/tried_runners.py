"""Runners that one stream was sent to, and how that ended."""

import typing

from limpetroute.decisions import stage as stage_module
from limpetroute.routing import runner_info


class TriedRunners:
    """Runners that one stream was sent to, and how that ended.

    Parameters
    ----------
    accepting : callable
        Returns the runners of its service that accept requests.
    """

    __slots__ = (
        '_accepting',
        'failed',
        'full',
        'shedding',
        'tried',
        'unreachable',
    )

    def __init__(
        self,
        *,
        accepting: typing.Callable[
            [], typing.Iterable[runner_info.RunnerInfo]
        ],
    ) -> None:
        self._accepting = accepting
        self.tried: set[str] = set()
        # Runners that a stream bound to a version is not sent to again.
        self.unreachable: set[str] = set()
        # Results that the leader is told with the next release.
        self.failed: set[str] = set()
        self.full: set[str] = set()
        # Runners that refused the stream with a KV cache to fetch.
        self.shedding: set[str] = set()

    def __repr__(self) -> str:
        return f'{type(self).__name__}(tried={self.tried!r})'

    def clear_results(self) -> None:
        """Forget the results that the leader was told."""
        self.failed.clear()
        self.full.clear()

    def to_avoid(self, version: str | None, current_id: str) -> frozenset[str]:
        """Return the runners that the stream is not sent to.

        A stream that is bound to a version has no choice where all runners
        of that version were tried: one that broke off may still be sound.

        Parameters
        ----------
        version : str or None
            Software version that the stream is bound to.
        current_id : str
            Runner whose answer is being relayed; empty if there is none.
        """
        tried = self.tried
        if version is not None and not self.has_untried(version):
            tried = self.unreachable
        return frozenset({*tried, current_id} - {''})

    def has_untried(
        self, version: str | None = None, other_than: str = ''
    ) -> bool:
        """Return whether a decode runner was not tried yet.

        Parameters
        ----------
        version : str or None
            Software version that it has to have; None for any.
        other_than : str
            Runner that does not count.
        """
        return any(
            one.ready
            and one.stage is stage_module.Stage.DECODE
            and version in (None, one.version)
            and one.runner_id != other_than
            and one.runner_id not in self.tried
            for one in self._accepting()
        )
