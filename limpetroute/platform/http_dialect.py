"""Formats of the platform's requests and responses."""

import json
import math
import typing

from tornado import httputil

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import dialect
from limpetroute.platform import header_names
from limpetroute.platform import routes_reader
from limpetroute.routing import config_fragments
from limpetroute.routing import route_plan
from limpetroute.routing import team
from limpetroute.wire import chunked_body
from limpetroute.wire import small_call

MILLIS = 1000.0
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


class HttpDialect:
    """Formats of the platform's requests and responses."""

    def __init__(self) -> None:
        self._reader = routes_reader.RoutesReader()

    def __repr__(self) -> str:
        return f'{type(self).__name__}()'

    def read_request(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes | chunked_body.ChunkedBody,
        received_s: float,
    ) -> caller_request.CallerRequest:
        """Decode a caller's request."""
        return caller_request.CallerRequest(
            request_id=headers.get(header_names.REQUEST_ID, ''),
            method=start.method,
            target=start.path,
            host=headers.get('Host', ''),
            headers=headers,
            body=body,
            received_s=received_s,
            deadline_s=_seconds(headers.get(header_names.DEADLINE_MS)),
            generation=_generation(
                headers.get(header_names.TOKEN_USAGE),
                headers.get(header_names.LENGTH_HINT),
                headers.get(header_names.PROMPT_PREFIX, ''),
            ),
            resume_after=headers.get(header_names.LAST_EVENT_ID, ''),
            resumes=headers.get(header_names.RESUMES, ''),
            credentials_digest=_credentials_digest(headers),
            key_digest=_key_digest(headers),
        )

    def runner_headers(
        self, request: caller_request.CallerRequest, note: dialect.SendOptions
    ) -> httputil.HTTPHeaders:
        """Return the headers for a runner."""
        headers = self.peer_headers(request, note.remaining_s)
        for name in header_names.SYSTEM_ONLY:
            headers.pop(name, None)
        if request.hides_credentials:
            headers.pop(header_names.AUTHORIZATION, None)
        if request.team:
            headers[header_names.TENANT] = request.team
        headers[header_names.EXPECT_INSTANCE] = note.runner_id
        if note.prefill_only:
            headers[header_names.STAGE] = 'prefill'
        if note.kv_source is not None:
            source = note.kv_source
            headers[header_names.KV_FROM] = f'{source.address}/{source.handle}'
        if note.priority is not None:
            headers[header_names.REQUEST_PRIORITY] = str(note.priority)
        if note.resume_after is not None:
            headers[header_names.LAST_EVENT_ID] = note.resume_after
        return headers

    def peer_headers(
        self,
        request: caller_request.CallerRequest,
        remaining_s: float,
        last_event_id: str = '',
    ) -> httputil.HTTPHeaders:
        """Return a caller's headers for another entry host."""
        headers = _without(request.headers, header_names.HOP_BY_HOP)
        headers.pop('Content-Length', None)
        remaining_ms = max(1, int(remaining_s * MILLIS))
        headers[header_names.DEADLINE_MS] = str(remaining_ms)
        if last_event_id:
            headers[header_names.LAST_EVENT_ID] = last_event_id
        return headers

    def is_refusal(self, status: int, headers: httputil.HTTPHeaders) -> bool:
        """Return whether a runner proves that it did not run a request."""
        return header_names.NOT_RUN in headers or status == HTTP_MISDIRECTED

    def is_misdirected(self, status: int) -> bool:
        """Return whether another runner than the intended one responded."""
        return status == HTTP_MISDIRECTED

    def rate_limit_text(self, headers: httputil.HTTPHeaders) -> str | None:
        """Return the rate limit that a runner announces, as received."""
        return headers.get(header_names.SERVER_LIMIT)

    def is_leaving(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether a runner announces that it is leaving."""
        return headers.get(header_names.SERVER_LEAVING, '').strip() == '1'

    def backoff_text(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> str | None:
        """Return the backoff that a runner asks for, as received."""
        if status != HTTP_UNAVAILABLE:
            return None
        return headers.get(header_names.RETRY_AFTER)

    def belongs_to(
        self,
        request: caller_request.CallerRequest,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        """Return whether a response belongs to this request."""
        echoed = headers.get(header_names.REQUEST_ID)
        return echoed is None or echoed == request.request_id

    def is_named(
        self,
        request: caller_request.CallerRequest,
        headers: httputil.HTTPHeaders,
    ) -> bool:
        """Return whether a response proves that it is this request's."""
        echoed = headers.get(header_names.REQUEST_ID)
        return bool(echoed) and echoed == request.request_id

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> httputil.HTTPHeaders:
        """Return the headers of a runner's response for the caller."""
        return _without(headers, header_names.HOP_BY_HOP)

    def local_reply_headers(
        self, request: caller_request.CallerRequest
    ) -> httputil.HTTPHeaders:
        """Return the headers of a response that this host generates."""
        headers = httputil.HTTPHeaders()
        if request.request_id:
            headers[header_names.REQUEST_ID] = request.request_id
        return headers

    def read_handle(self, body: bytes) -> str:
        """Return the KV cache handle from a prefill response.

        Raises
        ------
        ValueError
            If there is no handle in the body.
        """
        try:
            handle = json.loads(body)['kv-handle']
        except (KeyError, TypeError) as exc:
            raise ValueError(f'no handle in {body[:80]!r}') from exc
        if not isinstance(handle, str) or not handle:
            raise ValueError(f'no handle in {body[:80]!r}')
        return handle

    def free_handle_call(
        self, handle: str, runner_id: str
    ) -> small_call.SmallCall:
        """Return the call that frees a prefill runner's KV cache."""
        return small_call.SmallCall(
            method='DELETE',
            path=f'/api/kv-handle/{handle}',
            headers={header_names.EXPECT_INSTANCE: runner_id},
        )

    def prepare_plan(
        self, parts: typing.Iterable[config_fragments.ConfigFragment]
    ) -> None:
        """Decode fragments ahead, to make a later `read_plan` short."""
        self._reader.prepare(parts)

    def read_plan(
        self, parts: typing.Sequence[config_fragments.ConfigFragment]
    ) -> route_plan.RoutePlan:
        """Decode a routing configuration."""
        return self._reader.read(parts)


def _without(
    headers: httputil.HTTPHeaders, names: tuple[str, ...]
) -> httputil.HTTPHeaders:
    """Return a copy without these headers and the Connection options.

    The Connection header lists further headers of a single connection.
    """
    dropped = {name.lower() for name in names}
    for option in headers.get('Connection', '').split(','):
        dropped.add(option.strip().lower())
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def _seconds(text: str | None) -> float | None:
    """Convert a header in milliseconds to seconds; None if invalid."""
    try:
        seconds = math.nan if text is None else float(text) / MILLIS
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _key_digest(headers: httputil.HTTPHeaders) -> bytes | None:
    """Return the digest of the caller's key, or None if it sent none."""
    scheme, _, key = headers.get(header_names.AUTHORIZATION, '').partition(' ')
    if scheme.lower() != header_names.KEY_SCHEME or not key.strip():
        return None
    return team.key_digest(key.strip())


def _credentials_digest(headers: httputil.HTTPHeaders) -> str:
    credentials = headers.get(header_names.AUTHORIZATION, '')
    return team.key_digest(credentials).hex() if credentials else ''


def _part_ids(prefix: str) -> list[str]:
    """Return the identity of each part of a prompt, at least an empty one."""
    return [part.partition(':')[0].strip() for part in prefix.split(',')]


def _generation(
    usage: str | None, hint: str | None, prefix: str
) -> caller_request.Generation | None:
    try:
        prompt_tokens, _, max_tokens = (usage or '').partition(',')
        *shared_parts, prompt_id = _part_ids(prefix)
        return caller_request.Generation(
            prompt_tokens=int(prompt_tokens),
            max_output_tokens=int(max_tokens),
            expected_output_tokens=min(
                int(hint or max_tokens), int(max_tokens)
            ),
            prompt_id=prompt_id,
            shared_parts=tuple(shared_parts),
        )
    except ValueError:
        return None
