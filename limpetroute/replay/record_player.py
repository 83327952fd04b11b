"""Replays one request record and the callers attached to it."""

import typing

from limpetroute.peers import request_record
from limpetroute.peers import run_end
from limpetroute.replay import player


class RecordPlayer:
    """Drives a request record and the attachments that read from it."""

    def __init__(self) -> None:
        self._record: request_record.RequestRecord | None = None
        self._attachments: dict[int, request_record.Attachment] = {}

    def __repr__(self) -> str:
        return f'{type(self).__name__}(record={self._record!r})'

    @property
    def verbs(self) -> typing.Mapping[str, player.Verb]:
        """Return the operations on a record, by name."""
        return {
            'start': self._start,
            'append': self._append,
            'finish': self._finish,
            'attach': self._attach,
            'read': self._read,
            'read_end': self._read_end,
        }

    @property
    def _started_record(self) -> request_record.RequestRecord:
        if self._record is None:
            raise player.PlayError('the record has not been started')
        return self._record

    def _attachment(self, number: int) -> request_record.Attachment:
        if number not in self._attachments:
            raise player.PlayError(f'with.number: {number!r} is not attached')
        return self._attachments[number]

    def _start(
        self,
        *,
        now_s: float,
        request_id: str,
        team: str = 'team',
        key: str = '',
        body_digest: str = '',
        run_id: str = 'run',
    ) -> None:
        self._record = request_record.RequestRecord(
            request_id=request_id,
            team=team,
            key=key or request_id,
            body_digest=body_digest,
            run_id=run_id,
        )

    def _append(self, *, now_s: float, text: str) -> int | str:
        try:
            return self._started_record.append(text)
        except ValueError as exc:
            return str(exc)

    def _finish(
        self,
        *,
        now_s: float,
        kind: run_end.EndKind,
        finish_reason: str = 'stop',
    ) -> bool:
        return self._started_record.finish(
            run_end.RunEnd(kind=kind, finish_reason=finish_reason)
        )

    def _attach(
        self, *, now_s: float, after_index: int | None = None
    ) -> request_record.Attachment | str:
        try:
            attachment = self._started_record.attach(after_index=after_index)
        except ValueError as exc:
            return str(exc)
        self._attachments[attachment.number] = attachment
        return attachment

    def _read(
        self, *, now_s: float, number: int, upto: int | None = None
    ) -> list[str]:
        """Deliver an attachment's next events and return them.

        An attachment that a newer one replaced receives nothing.
        """
        attachment = self._attachment(number)
        record = self._started_record
        if not record.is_current(attachment):
            return []
        stop = len(record.events) if upto is None else upto
        texts = record.events[attachment.next_index : stop]
        record.mark_delivered(attachment, stop - 1)
        self._attachments[number] = request_record.Attachment(
            number=number, next_index=stop
        )
        return list(texts)

    def _read_end(self, *, now_s: float, number: int) -> run_end.RunEnd | None:
        attachment = self._attachment(number)
        record = self._started_record
        if not record.is_current(attachment) or record.end is None:
            return None
        record.mark_end_delivered(attachment)
        return record.end
