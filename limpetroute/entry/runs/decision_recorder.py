"""Records a host's routing decisions if its settings say so."""

from limpetroute.border import entry_settings
from limpetroute.decisions import router
from limpetroute.entry.runs import recording_router
from limpetroute.entry.runs import trace_writer


class DecisionRecorder:
    """Owns the trace file of one host, if recording is on.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the host; ``record_trace`` names the file.
    """

    __slots__ = ('_writer',)

    def __init__(self, *, settings: entry_settings.EntrySettings) -> None:
        self._writer: trace_writer.TraceWriter | None = None
        record_settings = settings.record_trace
        if record_settings is None:
            return
        self._writer = trace_writer.TraceWriter(
            path=record_settings.file,
            max_bytes=record_settings.max_bytes,
            story=f'Recorded by {settings.host_id} in {settings.zone}.',
        )

    def __repr__(self) -> str:
        return f'{type(self).__name__}(writer={self._writer!r})'

    def wrap(self, policy: router.Router, name: str) -> router.Router:
        """Return the router, wrapped in a recorder if recording is on."""
        if self._writer is None:
            return policy
        return recording_router.RecordingRouter(
            policy=policy, writer=self._writer, policy_name=name
        )

    def close(self) -> None:
        """Close the trace file."""
        if self._writer is not None:
            self._writer.close()
