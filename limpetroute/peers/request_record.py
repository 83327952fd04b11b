"""The record of one request: its events and who may receive them."""

import dataclasses
import typing

from limpetroute.peers import run_end


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attachment:
    """A caller's connection to a record.

    Parameters
    ----------
    number : int
        Grows with each attachment; only the newest receives events.
    next_index : int
        First event it is to receive.
    """

    number: int
    next_index: int


class RequestRecord:
    """Events of one request and the number of its newest attachment.

    Parameters
    ----------
    request_id : str
        Name told to the caller; cannot be guessed.
    team : str
        Team that owns the request.
    key : str
        The caller's idempotency key, or the request id.
    body_digest : str
        Digest of the body that the key stands for.
    run_id : str
        Name of the run at the runners.
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
        # Set before the end is written to a caller: another host that
        # takes over must not tell the end a second time.
        self.closing = False
        # Set by a host that took over and cannot know how many of the
        # events reached the caller.
        self.delivery_unsure = False
        self.may_deliver: typing.Callable[[], bool] = _always

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(request_id={self.request_id!r}, '
            f'events={len(self.events)!r}, end={self.end!r})'
        )

    @property
    def text(self) -> str:
        """All text so far."""
        return ''.join(self.events)

    def attach(self, *, after_index: int | None = None) -> Attachment:
        """Make a new attachment, which fences all older ones.

        Parameters
        ----------
        after_index : int or None
            Last event the caller has, from its ``Last-Event-ID``; None
            for a blind repeat, which gets what was not yet delivered.

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
        # A host that was frozen or cut off may have been replaced, and
        # the caller reads on elsewhere; its lease tells it in time.
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
        """Set the end; only the first one counts."""
        if self.end is not None:
            return False
        self.end = end
        return True

    def mark_delivered(self, attachment: Attachment, index: int) -> None:
        """Note the last event handed to the newest attachment."""
        if not self.is_current(attachment):
            return
        self.delivered_index = max(self.delivered_index, index)

    def mark_end_delivered(self, attachment: Attachment) -> None:
        """Note that the newest attachment was told the end."""
        if self.is_current(attachment):
            self.end_delivered = True


def _always() -> bool:
    return True
