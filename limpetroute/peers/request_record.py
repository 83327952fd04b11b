"""The record of a request: its events and its current connection."""

import dataclasses
import typing

from limpetroute.peers import run_end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attachment:
    """A caller's connection to a record.

    Parameters
    ----------
    number : int
        Number of the attachment; only the one with the highest number
        receives events.
    next_index : int
        Index of the first event to send.
    """

    number: int
    next_index: int


class RequestRecord:
    """Events of one request and the number of its newest attachment.

    Parameters
    ----------
    request_id : str
        Id given to the caller; cannot be guessed.
    team : str
        Team that owns the request.
    key : str
        The caller's idempotency key; the request id if it sent none.
    body_digest : str
        Digest of the body that was sent with the key.
    run_id : str
        Id of the run at the runners.
    """

    __slots__ = (
        'attachment_number',
        'body_digest',
        'closing',
        'delivered_index',
        'delivery_unsure',
        'end',
        'end_delivered',
        'events',
        'key',
        'may_deliver',
        'request_id',
        'run_id',
        'team',
    )

    def __init__(
        self,
        *,
        request_id: str,
        team: str,
        key: str,
        body_digest: str,
        run_id: str,
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.key = key
        self.body_digest = body_digest
        self.run_id = run_id
        self.events: list[str] = []
        self.end: run_end.RunEnd | None = None
        self.attachment_number = 0
        self.delivered_index = -1
        self.end_delivered = False
        # Set before the end is written to a caller, so that a host that
        # takes over does not deliver the end a second time.
        self.closing = False
        # Set when a host takes over, since the number of events that
        # reached the caller is then unknown.
        self.delivery_unsure = False
        self.may_deliver: typing.Callable[[], bool] = _always

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(request_id={self.request_id!r}, '
            f'events={len(self.events)!r}, end={self.end!r})'
        )

    @property
    def text(self) -> str:
        """Text of all events so far."""
        return ''.join(self.events)

    def attach(self, *, after_index: int | None = None) -> Attachment:
        """Create an attachment, which invalidates all older ones.

        Parameters
        ----------
        after_index : int or None
            Index of the last event the caller has, from its
            ``Last-Event-ID``; None for a repeat without it, which
            receives the events that were not yet delivered.

        Raises
        ------
        ValueError
            If ``after_index`` is past the newest event.
        """
        if after_index is None:
            after_index = self.delivered_index
        if not -1 <= after_index < len(self.events):
            raise ValueError(f'no such event: {after_index!r}')
        self.attachment_number += 1
        return Attachment(
            number=self.attachment_number, next_index=after_index + 1
        )

    def is_current(self, attachment: Attachment) -> bool:
        """Whether the attachment may still receive events."""
        if attachment.number != self.attachment_number:
            return False
        # A host that froze or was cut off may have been replaced, and the
        # caller may be connected elsewhere. The lease of such a host has
        # expired, so this check fails.
        return self.may_deliver()

    def append(self, text: str) -> int:
        """Add an event and return its index.

        Raises
        ------
        ValueError
            If the run has ended.
        """
        if self.end is not None:
            raise ValueError(f'run has ended: {self.end!r}')
        self.events.append(text)
        return len(self.events) - 1

    def finish(self, end: run_end.RunEnd) -> bool:
        """Set the end and return True, unless an end is already set."""
        if self.end is not None:
            return False
        self.end = end
        return True

    def mark_delivered(self, attachment: Attachment, index: int) -> None:
        """Record the last event delivered to the newest attachment."""
        if not self.is_current(attachment):
            return
        self.delivered_index = max(self.delivered_index, index)

    def mark_end_delivered(self, attachment: Attachment) -> None:
        """Record that the end was delivered to the newest attachment."""
        if self.is_current(attachment):
            self.end_delivered = True


def _always() -> bool:
    return True
