"""Records the decisions of a host where its settings ask for it."""

from limpetroute.border import entry_settings
from limpetroute.decisions import router
from limpetroute.entry.runs import recording_router
from limpetroute.entry.runs import trace_writer


class DecisionRecorder:
    """Owns the trace of one host, if there is one.

    Parameters
    ----------
    settings : EntrySettings
        Says whether and where.
    """

    __slots__ = ('_writer',)

    def __init__(self, *, settings: entry_settings.EntrySettings) -> None:
        self._writer: trace_writer.TraceWriter | None = None
        wanted = settings.record_trace
        if wanted is None:
            return
        self._writer = trace_writer.TraceWriter(
            path=wanted.file,
            max_bytes=wanted.max_bytes,
            story=f'Recorded by {settings.host_id} in {settings.zone}.',
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(writer={self._writer!r})'

    def wrap(self, policy: router.Router, name: str) -> router.Router:
        """Return the router to use: the one given, recorded or not."""
        if self._writer is None:
            return policy
        return recording_router.RecordingRouter(
            policy=policy, writer=self._writer, policy_name=name
        )

    def close(self) -> None:
        """End the trace."""
        if self._writer is not None:
            self._writer.close()
