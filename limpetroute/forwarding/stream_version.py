"""Software version at which one stream began."""

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import forward_context
from limpetroute.routing import route as route_module
from limpetroute.routing import stream_origins


class StreamVersion:
    """Software version at which one stream began.

    Parameters
    ----------
    context : ForwardContext
        Remembers it for callers that take the stream up.
    request : CallerRequest
        The caller's request.
    route : Route
        Its route.
    service : str
        Its service.
    """

    def __init__(
        self,
        *,
        context: forward_context.ForwardContext,
        request: caller_request.CallerRequest,
        route: route_module.Route,
        service: str,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        # Of the runner that sent the first event.
        self.current = request.stream_version
        if self.current is None:
            self.current = context.memory.find(self._key(self.resumes))
        # Noted by the leader before the first event.
        self.noted: str | None = None

    def __repr__(self) -> str:
        return f'{type(self).__name__}(current={self.current!r})'

    @property
    def resumes(self) -> str:
        """Attempt that began a stream that is taken up; empty if unknown."""
        return self._request.resumes if self._request.resume_after else ''

    def note_first_event(
        self, version: str | None, *, leader_knows: bool
    ) -> None:
        """Note the version for callers that take the stream up.

        Parameters
        ----------
        version : str or None
            Version of the runner that sent the event; None if unknown.
        leader_knows : bool
            Whether the leader has it from the placement.
        """
        if self.current is None:
            self.current = version
        if self.current is None:
            return
        # A later attempt may name this one, or the same as this one.
        for request_id in (self._request.request_id, self.resumes):
            if not request_id:
                continue
            self._context.memory.note(
                self._key(request_id),
                self.current,
                remaining_s=self._context.remaining_s(
                    self._request, self._route
                ),
                leader_knows=leader_knows,
            )

    def _key(self, request_id: str) -> stream_origins.StreamKey:
        return stream_origins.StreamKey(
            service=self._service,
            team=self._request.team,
            request_id=request_id,
        )
