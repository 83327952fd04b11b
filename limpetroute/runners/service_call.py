"""Requests and responses of a plain service."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Parameters
    ----------
    service : str
        Name of the service.
    method : str
        HTTP method.
    path : str
        Path at the service, with its leading slash and its query.
    body : bytes
        Body as the caller sent it.
    content_type : str
        Content type of the body.
    accept : str
        Value of the caller's ``Accept`` header.
    key : str
        Idempotency key, passed on to the service.
    timeout_s : float
        Time limit of the whole call.
    """

    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    accept: str
    key: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceReply:
    """Response of the service."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRefused:
    """The service reported that it did not run the call."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceFailed:
    """The call failed; if ``sent`` is true, it may have run."""

    reason: str
    sent: bool
    timed_out: bool = False


ServiceResult = ServiceReply | ServiceRefused | ServiceFailed
