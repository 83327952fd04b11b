"""HTTP status, error code and message for the end of a run."""

import http
import typing

from limpetroute.decisions import action
from limpetroute.peers import run_end

CLIENT_CLOSED = 499
STATUS_OF_KIND = {
    run_end.EndKind.COMPLETED: http.HTTPStatus.OK,
    run_end.EndKind.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    run_end.EndKind.UNKNOWN: http.HTTPStatus.BAD_GATEWAY,
    run_end.EndKind.CANCELLED: CLIENT_CLOSED,
}
NOT_RUN_STATUS: typing.Mapping[str, int] = {
    action.Reason.SATURATED: http.HTTPStatus.TOO_MANY_REQUESTS,
    action.Reason.TEAM_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    action.Reason.UNKNOWN_MODEL: http.HTTPStatus.NOT_FOUND,
    action.Reason.TOO_LONG: http.HTTPStatus.BAD_REQUEST,
}
CODE_OF_REASON: typing.Mapping[str, str] = {
    action.Reason.UNKNOWN_MODEL: 'model_not_found',
    action.Reason.TOO_LONG: 'context_length_exceeded',
}


def status_of(end: run_end.RunEnd) -> int:
    """Return the HTTP status for the end of a run."""
    if end.kind is run_end.EndKind.NOT_RUN:
        usual = STATUS_OF_KIND[end.kind]
        return int(NOT_RUN_STATUS.get(end.finish_reason, usual))
    if end.kind is run_end.EndKind.UNKNOWN:
        if end.finish_reason == action.Reason.DEADLINE:
            return int(http.HTTPStatus.GATEWAY_TIMEOUT)
    return int(STATUS_OF_KIND[end.kind])


def code_of(end: run_end.RunEnd) -> str:
    """Return the error code for the end of a run."""
    return CODE_OF_REASON.get(end.finish_reason, end.finish_reason)


def message_of(end: run_end.RunEnd) -> str:
    """Return the error message for an unsuccessful end of a run."""
    if end.kind is run_end.EndKind.NOT_RUN:
        return f'the request was not run: {end.finish_reason}'
    message = f'the request may have run: {end.finish_reason}'
    if end.kind is run_end.EndKind.CANCELLED:
        message = f'the request was cancelled: {end.finish_reason}'
    elif end.completion_tokens:
        message = f'the answer broke off: {end.finish_reason}'
    if end.completion_tokens:
        return f'{message}; start over without Last-Event-ID'
    return message
